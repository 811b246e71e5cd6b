#ifndef FOXQUAY_TESTS_FAKES_TOKEN_H_
#define FOXQUAY_TESTS_FAKES_TOKEN_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace foxquay::fakes {

/// Returns the input of the first layer for the token at `index` of the answer
/// to `prompt`.
[[nodiscard]] std::uint64_t Activation(std::string_view prompt,
                                       std::uint32_t index);

/// Returns the output of a layer: a hash of its input and its number, so that
/// skipping, repeating or reordering layers changes the token.
[[nodiscard]] std::uint64_t RunLayer(std::uint64_t activation,
                                     std::uint32_t layer);

/// Returns the text of a token from the output of the last layer.
[[nodiscard]] std::string TokenText(std::uint64_t activation);

/// Returns the token at `index` that a model of `layers` layers must produce.
[[nodiscard]] std::string ExpectedToken(std::string_view prompt,
                                        std::uint32_t index,
                                        std::uint32_t layers);

}  // namespace foxquay::fakes

#endif  // FOXQUAY_TESTS_FAKES_TOKEN_H_
