#pragma once

#include "settings.h"

namespace Settings {

/*! \brief Checks what spans several keys or needs more than a range; returns all errors. */
auto validate(const Settings &settings) -> std::vector<Utils::FieldError>;

} // namespace Settings
