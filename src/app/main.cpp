#include "commandline.h"

auto main(int argc, char **argv) -> int
{
    return App::runCommandLine(argc, argv);
}
