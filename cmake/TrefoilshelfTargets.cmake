# Targets and helpers shared by all modules.

find_package(PkgConfig REQUIRED)
find_package(Threads REQUIRED)
find_package(TBB REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(cxxopts REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(Boost 1.74 REQUIRED COMPONENTS log)
find_package(GTest REQUIRED)
find_package(benchmark REQUIRED)
pkg_check_modules(HTTPLIB REQUIRED IMPORTED_TARGET cpp-httplib)
pkg_check_modules(THRIFT REQUIRED IMPORTED_TARGET thrift)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)

add_library(trefoilshelf_options INTERFACE)
target_compile_options(trefoilshelf_options INTERFACE -Wall -Wextra -Werror)
target_compile_definitions(trefoilshelf_options INTERFACE BOOST_LOG_DYN_LINK)
if(TREFOILSHELF_ASAN)
    target_compile_options(trefoilshelf_options INTERFACE -fsanitize=address,undefined -fno-omit-frame-pointer)
    target_link_options(trefoilshelf_options INTERFACE -fsanitize=address,undefined)
endif()
if(TREFOILSHELF_TSAN)
    target_compile_options(trefoilshelf_options INTERFACE -fsanitize=thread -Wno-tsan)
    target_link_options(trefoilshelf_options INTERFACE -fsanitize=thread)
endif()

# Adds the static library of one module: all .cpp files in its folder.
# Arguments after the name are the modules and libraries it uses.
function(trefoilshelf_add_module name)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_library(${name} STATIC ${sources})
    target_include_directories(${name} PUBLIC ${PROJECT_SOURCE_DIR}/src/libs)
    target_link_libraries(${name} PUBLIC ${ARGN} PRIVATE trefoilshelf_options)
endfunction()

# Adds one test program for a module: all tst_*.cpp files in its folder.
function(trefoilshelf_add_tests name)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_executable(${name} ${sources})
    target_link_libraries(${name} PRIVATE ${ARGN} GTest::gtest_main GTest::gmock trefoilshelf_options)
    include(GoogleTest)
    gtest_discover_tests(${name} DISCOVERY_MODE PRE_TEST NO_PRETTY_VALUES PROPERTIES TIMEOUT 300)
endfunction()
