#include "foxquay/core/finding.h"

#include <catch2/catch.hpp>

namespace foxquay::core {

// Guards against findings that are printed without their location.
TEST_CASE("a formatted finding states file, line and key path") {
  CHECK(Format({"a.yaml", 3, "host.id", "missing"}) ==
        "a.yaml:3: host.id: missing");
  CHECK(Format({"", 0, "key", "bad"}) == "key: bad");
}

}  // namespace foxquay::core
