#pragma once

#include "settings.h"

namespace Settings {

/*! \brief Checks the rules that go beyond types and ranges of single keys; returns all errors. */
auto validate(const Settings &settings) -> std::vector<Utils::FieldError>;

} // namespace Settings
