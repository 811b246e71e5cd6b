#ifndef FOXQUAY_METRICS_FWD_H_
#define FOXQUAY_METRICS_FWD_H_

#include <cstdint>

namespace foxquay::metrics {

class Registry;
enum class Series : std::uint8_t;

}  // namespace foxquay::metrics

#endif  // FOXQUAY_METRICS_FWD_H_
