#pragma once

#include <cstdint>
#include <string>

namespace App {

/*! \brief Identity and behaviour of the simulated endpoint. */
struct FakeEndpointOptions
{
    std::string id = "endpoint-1";
    std::string service = "dispatch";
    std::string host = "host-1";
    std::string rack = "rack-1";
    std::string zone = "z1";
    std::string listen = "127.0.0.1:0";
    std::string announceTo = "127.0.0.1:7401";
    std::int64_t slots = 8;
    std::int64_t connections = 64;
    std::int64_t runMs = 0;
};

/*! \brief Runs an endpoint until SIGTERM or SIGINT; returns the exit code. */
auto runFakeEndpoint(const FakeEndpointOptions &options) -> int;

} // namespace App
