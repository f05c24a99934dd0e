#include "tableprinter.h"

#include <algorithm>
#include <ostream>

namespace App {
namespace {

using Row = std::vector<std::string>;

auto cellText(const Utils::Json &value) -> std::string
{
    if (value.is_string())
        return value.get<std::string>();
    if (value.is_array() && std::ranges::all_of(value, &Utils::Json::is_string)) {
        std::string text;
        for (const auto &item : value)
            text += (text.empty() ? "" : ",") + item.get<std::string>();
        return text;
    }
    return value.is_null() ? std::string() : value.dump();
}

auto printRows(std::ostream &stream, const std::vector<Row> &rows) -> void
{
    std::vector<std::size_t> widths(rows.front().size(), 0);
    for (const auto &row : rows) {
        for (std::size_t column = 0; column < row.size(); ++column)
            widths[column] = std::max(widths[column], row[column].size());
    }
    for (const auto &row : rows) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column) {
            line += row[column];
            line.append(widths[column] - row[column].size() + 2, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        stream << line << '\n';
    }
}

auto printTable(std::ostream &stream,
                const Utils::Json &items,
                const std::vector<std::string> &columns) -> void
{
    std::vector<Row> rows{columns};
    for (const auto &item : items) {
        auto &row = rows.emplace_back();
        for (const auto &column : columns)
            row.push_back(item.contains(column) ? cellText(item[column]) : std::string());
    }
    printRows(stream, rows);
}

} // namespace

auto printReadable(std::ostream &stream,
                   const Utils::Json &json,
                   const std::vector<std::string> &columns) -> void
{
    if (json.is_array() && !columns.empty()) {
        printTable(stream, json, columns);
        return;
    }
    if (!json.is_object() || json.empty()) {
        stream << cellText(json) << '\n';
        return;
    }
    if (json.contains("lines") && json["lines"].is_array()) {
        stream << cellText(json.value("subject", Utils::Json())) << '\n';
        printTable(stream, json["lines"], {"topic", "text"});
        return;
    }
    std::vector<Row> rows;
    for (const auto &item : json.items())
        rows.push_back({item.key(), cellText(item.value())});
    printRows(stream, rows);
}

auto printPlanReport(std::ostream &stream, const Utils::Json &plan, bool asCsv) -> void
{
    std::vector<Row> rows{{"zone",
                           "pool",
                           "hosts",
                           "serving_slots",
                           "guaranteed_slots",
                           "demand_slots",
                           "required_slots",
                           "borrowed_slots",
                           "zone_reserve_slots"}};
    for (const auto &zone : plan["zones"]) {
        for (const auto &pool : zone["pools"]) {
            auto &row = rows.emplace_back();
            row.push_back(cellText(zone["zone"]));
            row.push_back(cellText(pool["pool"]));
            for (std::size_t column = 2; column + 1 < rows.front().size(); ++column)
                row.push_back(cellText(pool[rows.front()[column]]));
            row.push_back(cellText(zone["reserve_slots"]));
        }
    }
    if (!asCsv) {
        printRows(stream, rows);
        for (const auto &move : plan["moves"])
            stream << "proposes: host " << cellText(move["host"]) << " to pool "
                   << cellText(move["to_pool"]) << ": " << cellText(move["reason"]) << '\n';
        return;
    }
    for (const auto &row : rows) {
        for (std::size_t column = 0; column < row.size(); ++column)
            stream << (column > 0 ? "," : "") << row[column];
        stream << '\n';
    }
}

} // namespace App
