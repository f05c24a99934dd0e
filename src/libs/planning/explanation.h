#pragma once

#include "waveplanner.h"

namespace Planning {

/*! \brief One fact of an explanation. */
struct ExplanationLine
{
    std::string topic;
    std::string text;
};

/*! \brief Reasons why a move or host is in its state, or what open waves and moves wait for. */
struct Explanation
{
    std::string subject;
    std::vector<ExplanationLine> lines;
};

/*! \brief Explains the move or host \a subject; fails with NotFound if there is none. */
auto explainSubject(const Fleet::State &state, const std::string &subject, Fleet::WallTimeMs nowMs)
    -> Utils::Result<Explanation>;

/*! \brief Explains what each open wave and move waits for. */
auto explainWaiting(const Fleet::State &state, Fleet::WallTimeMs nowMs) -> Explanation;

template <typename Archive>
auto describe(Archive &archive, ExplanationLine &line) -> void
{
    archive.required("topic", line.topic);
    archive.required("text", line.text);
}

template <typename Archive>
auto describe(Archive &archive, Explanation &explanation) -> void
{
    archive.required("subject", explanation.subject);
    archive.required("lines", explanation.lines);
}

} // namespace Planning
