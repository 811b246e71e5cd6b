#include "foxquay/log/non_blocking_writer.h"

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

// Guards against a log reader that stops reading and so blocks the threads that
// write events.
TEST_CASE("a writer drops and counts lines instead of blocking on its reader") {
  std::array<int, 2> pipe_ends{};
  REQUIRE(pipe(pipe_ends.data()) == 0);
  NonBlockingWriter writer(pipe_ends[1]);
  const std::string line(1000, 'x');
  for (int count = 0; count < 1000; ++count) writer.Write(line + "\n");
  CHECK(writer.dropped() > 500);
  std::string read = ReadAll(pipe_ends[0]);
  for (int count = 0; count < 20; ++count) {
    writer.Write("later\n");
    read += ReadAll(pipe_ends[0]);
  }
  CHECK(read.find("event=log_lines_dropped count=" +
                  std::to_string(writer.dropped())) != std::string::npos);
  CHECK(read.substr(read.size() - 6) == "later\n");
  close(pipe_ends[0]);
  close(pipe_ends[1]);
}

}  // namespace foxquay::log
