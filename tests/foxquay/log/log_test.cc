#include "foxquay/log/log.h"

#include <catch2/catch.hpp>

namespace foxquay::log {

// Guards against values that break the format of one line of key=value pairs.
TEST_CASE("values with spaces, quotes and line breaks are quoted") {
  CHECK(Format("start", {{"host", "a1"}, {"port", 80}}) ==
        "event=start host=a1 port=80");
  CHECK(Format("x", {{"why", "a \"b\"\nc=1"}}) ==
        "event=x why=\"a \\\"b\\\" c=1\"");
  CHECK(Format("x", {{"empty", ""}}) == "event=x empty=\"\"");
}

}  // namespace foxquay::log
