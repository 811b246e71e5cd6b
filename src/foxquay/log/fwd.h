#ifndef FOXQUAY_LOG_FWD_H_
#define FOXQUAY_LOG_FWD_H_

#include <cstdint>

namespace foxquay::log {

enum class Level : std::uint8_t;
struct Field;

}  // namespace foxquay::log

#endif  // FOXQUAY_LOG_FWD_H_
