#include "foxquay_cli/arguments.h"

#include <cstdlib>
#include <iostream>
#include <memory>

namespace foxquay::cli {

void Arguments::AddText(const char* name, std::string& value,
                        const char* help) {
  Text& text = texts_.emplace_back(Text{nullptr, &value});
  table_.push_back({name, 0, POPT_ARG_STRING, &text.given, 0, help, "TEXT"});
}

void Arguments::AddNumber(const char* name, int& value, const char* help) {
  table_.push_back({name, 0, POPT_ARG_INT, &value, 0, help, "N"});
}

void Arguments::AddFlag(const char* name, bool& value, const char* help) {
  Flag& flag = flags_.emplace_back(Flag{0, &value});
  table_.push_back({name, 0, POPT_ARG_NONE, &flag.given, 0, help, nullptr});
}

std::optional<std::vector<std::string>> Arguments::Parse(int argc,
                                                         const char** argv) {
  std::vector<poptOption> table = table_;
  table.push_back({nullptr, 0, POPT_ARG_INCLUDE_TABLE, poptHelpOptions, 0,
                   "Help options:", nullptr});
  table.push_back(POPT_TABLEEND);
  const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
      poptGetContext("foxquay", argc, argv, table.data(), 0), poptFreeContext);
  poptSetOtherOptionHelp(context.get(), usage_.c_str());
  const int result = poptGetNextOpt(context.get());
  for (Text& text : texts_) {
    if (text.given == nullptr) continue;
    *text.value = text.given;
    std::free(text.given);  // NOLINT: popt allocates with malloc
  }
  for (Flag& flag : flags_) *flag.value = flag.given != 0;
  if (result < -1) {
    std::cerr << poptBadOption(context.get(), 0) << ": " << poptStrerror(result)
              << "; see --help\n";
    return std::nullopt;
  }
  std::vector<std::string> positional;
  const char** rest = poptGetArgs(context.get());
  for (; rest != nullptr && *rest != nullptr; ++rest) {
    positional.emplace_back(*rest);
  }
  return positional;
}

}  // namespace foxquay::cli
