#include "foxquay/log/output.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <string>

namespace foxquay::log {
namespace {

std::string ReadAll(int descriptor) {
  std::string text;
  std::array<char, 65536> bytes{};
  fcntl(descriptor, F_SETFL, O_NONBLOCK);
  for (ssize_t count = 0;
       (count = read(descriptor, bytes.data(), bytes.size())) > 0;) {
    text.append(bytes.data(), static_cast<std::size_t>(count));
  }
  return text;
}

}  // namespace

// A reader that stops must not hold up a decision.
TEST_CASE("a reader that stops costs lines, which are counted, and no time") {
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  Output output(ends[1]);
  const std::string line(1000, 'x');
  for (int count = 0; count < 1000; ++count) output.Write(line + "\n");
  CHECK(output.dropped() > 500);
  std::string read = ReadAll(ends[0]);
  for (int count = 0; count < 20; ++count) {
    output.Write("later\n");
    read += ReadAll(ends[0]);
  }
  CHECK(read.find("event=log_lines_dropped count=" +
                  std::to_string(output.dropped())) != std::string::npos);
  CHECK(read.substr(read.size() - 6) == "later\n");
  close(ends[0]);
  close(ends[1]);
}

}  // namespace foxquay::log
