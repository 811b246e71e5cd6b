#include "fakes/token.h"

#include "foxquay/core/hash.h"

namespace foxquay::fakes {

std::uint64_t Activation(std::string_view prompt, std::uint32_t index) {
  return core::Hash(prompt, index);
}

std::uint64_t RunLayer(std::uint64_t activation, std::uint32_t layer) {
  return core::Hash(std::to_string(layer), activation);
}

std::string TokenText(std::uint64_t activation) {
  constexpr std::string_view kLetters = "abcdefghijklmnop";
  std::string text = " ";
  for (int count = 0; count < 6; ++count) {
    text += kLetters[activation % kLetters.size()];
    activation /= kLetters.size();
  }
  return text;
}

std::string ExpectedToken(std::string_view prompt, std::uint32_t index,
                          std::uint32_t layers) {
  std::uint64_t activation = Activation(prompt, index);
  for (std::uint32_t layer = 0; layer < layers; ++layer) {
    activation = RunLayer(activation, layer);
  }
  return TokenText(activation);
}

}  // namespace foxquay::fakes
