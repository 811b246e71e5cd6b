#include "fakes/options.h"

#include <popt.h>

#include <array>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <sstream>
#include <utility>

namespace foxquay::fakes {
namespace internal {

/// Values as popt stores them, which knows only C types.
struct RawOptions {
  std::array<char*, 7> texts{};
  std::array<int, 9> numbers{0, 0, 1, 64, 10, 0, 0, 0, 0};
  int refuse = 0;
};

std::string TextOr(const char* text, const char* fallback = "") {
  return text == nullptr ? fallback : text;
}

std::vector<std::string> SplitAtCommas(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream in(text);
  for (std::string part; std::getline(in, part, ',');) parts.push_back(part);
  return parts;
}

std::uint32_t ToUnsigned(int number) {
  return static_cast<std::uint32_t>(number < 0 ? 0 : number);
}

Options Convert(const RawOptions& raw) {
  Options options;
  options.id = TextOr(raw.texts[0], "fake");
  options.listen = TextOr(raw.texts[1]);
  options.announce = SplitAtCommas(TextOr(raw.texts[2]));
  options.data_centre = TextOr(raw.texts[3], "local");
  options.log = TextOr(raw.texts[4]);
  options.model = TextOr(raw.texts[5]);
  options.service = TextOr(raw.texts[6]);
  options.first_layer = ToUnsigned(raw.numbers[0]);
  options.last_layer = ToUnsigned(raw.numbers[1]);
  options.model_layers = ToUnsigned(raw.numbers[2]);
  options.slots = ToUnsigned(raw.numbers[3]);
  options.token_time = std::chrono::milliseconds(raw.numbers[4]);
  options.stop_at = ToUnsigned(raw.numbers[5]);
  options.die_after = ToUnsigned(raw.numbers[6]);
  options.hang_after = ToUnsigned(raw.numbers[7]);
  options.leave_after = ToUnsigned(raw.numbers[8]);
  options.refuse = raw.refuse != 0;
  return options;
}

poptOption TextOption(const char* name, char*& value, const char* help) {
  return {name, 0, POPT_ARG_STRING, &value, 0, help, "TEXT"};
}

poptOption NumberOption(const char* name, int& value, const char* help) {
  return {name, 0, POPT_ARG_INT, &value, 0, help, "N"};
}

}  // namespace internal

Options ParseOptions(int argc, const char** argv) {
  internal::RawOptions raw;
  auto& texts = raw.texts;
  auto& numbers = raw.numbers;
  const std::array<poptOption, 19> table{{
      internal::TextOption("id", texts[0], "Upstream id"),
      internal::TextOption("listen", texts[1], "IP:PORT to serve"),
      internal::TextOption("announce", texts[2],
                           "Upstream listeners, separated by commas"),
      internal::TextOption("data-centre", texts[3], "Data centre"),
      internal::TextOption("log", texts[4], "File of the execution log"),
      internal::TextOption("model", texts[5], "Model"),
      internal::TextOption("service", texts[6], "Service"),
      internal::NumberOption("first-layer", numbers[0], "First layer held"),
      internal::NumberOption("last-layer", numbers[1], "Last layer held"),
      internal::NumberOption("model-layers", numbers[2], "Layers of the model"),
      internal::NumberOption("slots", numbers[3], "Concurrent streams"),
      internal::NumberOption("token-time", numbers[4],
                             "Milliseconds per token or call"),
      internal::NumberOption("stop-at", numbers[5],
                             "Tokens per answer; unlimited if 0"),
      internal::NumberOption("die-after", numbers[6],
                             "Tokens or calls before a crash"),
      internal::NumberOption("hang-after", numbers[7],
                             "Tokens or calls before a hang"),
      internal::NumberOption("leave-after", numbers[8],
                             "Tokens or calls before leaving"),
      {"refuse", 0, POPT_ARG_NONE, &raw.refuse, 0, "Refuse all requests",
       nullptr},
      POPT_AUTOHELP POPT_TABLEEND,
  }};
  const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
      poptGetContext("fake", argc, argv, table.data(), 0), poptFreeContext);
  const int result = poptGetNextOpt(context.get());
  if (result < -1) {
    std::cerr << poptBadOption(context.get(), 0) << ": " << poptStrerror(result)
              << "\n";
    std::exit(EXIT_FAILURE);  // NOLINT(concurrency-mt-unsafe)
  }
  Options options = internal::Convert(raw);
  for (char* text : raw.texts) std::free(text);  // NOLINT: popt uses malloc
  if (options.listen.empty()) {
    std::cerr << "--listen is required\n";
    std::exit(EXIT_FAILURE);  // NOLINT(concurrency-mt-unsafe)
  }
  return options;
}

}  // namespace foxquay::fakes
