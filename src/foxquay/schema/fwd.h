#ifndef FOXQUAY_SCHEMA_FWD_H_
#define FOXQUAY_SCHEMA_FWD_H_

#include <cstdint>

namespace foxquay::schema {

struct Settings;
struct PolicySpec;
enum class PolicyKey : std::uint8_t;
enum class Role : std::uint8_t;

}  // namespace foxquay::schema

#endif  // FOXQUAY_SCHEMA_FWD_H_
