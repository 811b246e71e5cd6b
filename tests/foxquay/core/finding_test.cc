#include "foxquay/core/finding.h"

#include <catch2/catch.hpp>

namespace foxquay::core {

// Guards against findings that lose their place when printed.
TEST_CASE("a finding names file, line and key path") {
  CHECK(Format({"a.yaml", 3, "host.id", "missing"}) ==
        "a.yaml:3: host.id: missing");
  CHECK(Format({"", 0, "key", "bad"}) == "key: bad");
}

}  // namespace foxquay::core
