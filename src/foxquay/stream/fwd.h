#ifndef FOXQUAY_STREAM_FWD_H_
#define FOXQUAY_STREAM_FWD_H_

#include <cstdint>

namespace foxquay::stream {

class Stream;
struct Terms;
struct LegTerms;
enum class LegEnd : std::uint8_t;
enum class Phase : std::uint8_t;
enum class Next : std::uint8_t;
enum class TokenVerdict : std::uint8_t;

}  // namespace foxquay::stream

#endif  // FOXQUAY_STREAM_FWD_H_
