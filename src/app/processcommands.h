#pragma once

namespace App {

auto runServeCommand(int argc, char **argv) -> int;
auto runCheckCommand(int argc, char **argv) -> int;
auto runFakeEndpointCommand(int argc, char **argv) -> int;
auto runLoadCommand(int argc, char **argv) -> int;
auto runVersionCommand(int argc, char **argv) -> int;

} // namespace App
