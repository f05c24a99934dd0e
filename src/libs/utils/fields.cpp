#include "fields.h"

namespace Utils {

auto describeErrors(std::span<const FieldError> errors) -> std::string
{
    std::string text;
    for (const auto &error : errors) {
        if (!text.empty())
            text += '\n';
        text += (error.path.empty() ? "document" : error.path) + ": " + error.reason;
    }
    return text;
}

auto parseJsonText(std::string_view text, bool withComments) -> Result<Json>
{
    try {
        return Json::parse(text, nullptr, true, withComments);
    } catch (const Json::exception &exception) {
        return failure(ErrorType::InvalidInput, "the text is not valid JSON", exception.what());
    }
}

} // namespace Utils
