#ifndef FOXQUAY_CLI_TABLE_H_
#define FOXQUAY_CLI_TABLE_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace foxquay::cli {

/// Formats a list of objects as a table with the given keys as columns.
[[nodiscard]] std::string FormatTable(const nlohmann::json& rows,
                                      const std::vector<std::string>& columns);

/// Prints `body` as JSON if `output` is `json`, else its list `name` as a table
/// with the given columns.
void Print(const std::string& output, const nlohmann::json& body,
           const std::string& name, const std::vector<std::string>& columns);

}  // namespace foxquay::cli

#endif  // FOXQUAY_CLI_TABLE_H_
