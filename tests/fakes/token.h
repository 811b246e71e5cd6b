#ifndef FOXQUAY_TESTS_FAKES_TOKEN_H_
#define FOXQUAY_TESTS_FAKES_TOKEN_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace foxquay::fakes {

/// Returns what enters the first layer for one token of a prompt's answer.
[[nodiscard]] std::uint64_t Activation(std::string_view prompt,
                                       std::uint32_t index);

/// Returns what a layer makes of its input. Skipping, repeating or reordering
/// layers changes the token.
[[nodiscard]] std::uint64_t RunLayer(std::uint64_t activation,
                                     std::uint32_t layer);

/// Returns the token's text from the output of the last layer.
[[nodiscard]] std::string TokenText(std::uint64_t activation);

/// Returns the token that a model of `layers` layers must produce.
[[nodiscard]] std::string ExpectedToken(std::string_view prompt,
                                        std::uint32_t index,
                                        std::uint32_t layers);

}  // namespace foxquay::fakes

#endif  // FOXQUAY_TESTS_FAKES_TOKEN_H_
