#include "foxquay_cli/table.h"

#include <algorithm>
#include <iostream>

namespace foxquay::cli {
namespace internal {

std::string Cell(const nlohmann::json& row, const std::string& column) {
  const auto found = row.find(column);
  if (found == row.end() || found->is_null()) return "";
  if (found->is_string()) return found->get<std::string>();
  if (found->is_boolean()) return found->get<bool>() ? "yes" : "no";
  return found->dump();
}

}  // namespace internal

std::string FormatTable(const nlohmann::json& rows,
                        const std::vector<std::string>& columns) {
  std::vector<std::vector<std::string>> lines{columns};
  for (const nlohmann::json& row : rows) {
    std::vector<std::string>& line = lines.emplace_back();
    for (const std::string& column : columns) {
      line.push_back(internal::Cell(row, column));
    }
  }
  std::vector<std::size_t> widths(columns.size(), 0);
  for (const auto& line : lines) {
    for (std::size_t index = 0; index < line.size(); ++index) {
      widths[index] = std::max(widths[index], line[index].size());
    }
  }
  std::string text;
  for (const auto& line : lines) {
    for (std::size_t index = 0; index < line.size(); ++index) {
      const bool last = index + 1 == line.size();
      text += line[index];
      if (!last) text.append(widths[index] + 2 - line[index].size(), ' ');
    }
    text += '\n';
  }
  return text;
}

void Print(const std::string& output, const nlohmann::json& body,
           const std::string& name, const std::vector<std::string>& columns) {
  if (output == "json") {
    std::cout << body.dump(2) << "\n";
    return;
  }
  std::cout << FormatTable(body.value(name, nlohmann::json::array()), columns);
}

}  // namespace foxquay::cli
