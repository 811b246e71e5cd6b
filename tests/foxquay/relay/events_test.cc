#include "foxquay/relay/events.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

namespace foxquay::relay {
namespace {

std::string Event(std::uint64_t id) {
  return "id: " + std::to_string(id) + "\ndata: t" + std::to_string(id) +
         "\n\n";
}

std::string Stream(std::uint64_t first, std::uint64_t end) {
  std::string stream;
  for (std::uint64_t id = first; id < end; ++id) stream += Event(id);
  return stream;
}

}  // namespace

TEST_CASE("only complete events are passed on") {
  EventFilter filter(std::nullopt);
  CHECK(filter.Put("id: 1\nda").empty());
  CHECK(filter.Put("ta: t1\n").empty());
  CHECK(filter.Put("\nid: 2") == Event(1));
  CHECK_FALSE(filter.between_events());
  CHECK(filter.last() == 1U);
}

// An upstream that ignores the request to resume repeats events that the caller
// already has.
TEST_CASE("a resumed stream repeats no event") {
  EventFilter filter(std::nullopt);
  (void)filter.Put(Stream(1, 4) + "id: 4\nda");
  filter.Restart();
  CHECK(filter.Put(Stream(1, 6)) == Stream(4, 6));
  CHECK(filter.between_events());
}

TEST_CASE("a resumed stream that skips an event is broken") {
  EventFilter filter(std::nullopt);
  (void)filter.Put(Stream(1, 4));
  filter.Restart();
  CHECK(filter.Put(Stream(5, 7)).empty());
  CHECK(filter.broken());
}

TEST_CASE("only events after the last one that the caller has are passed on") {
  EventFilter filter(12);
  CHECK(filter.Put(Stream(11, 15)) == Stream(13, 15));
}

TEST_CASE(
    "streams cut at any byte and resumed neither lose nor repeat events") {
  rc::check("the caller gets every event once", [] {
    const auto total = *rc::gen::inRange<std::uint64_t>(1, 12);
    EventFilter filter(std::nullopt);
    std::string got;
    for (int leg = 0; leg < 4; ++leg) {
      const std::string rest = Stream(filter.last().value_or(0) + 1, total);
      const auto cut = *rc::gen::inRange<std::size_t>(0, rest.size() + 1);
      const auto split = *rc::gen::inRange<std::size_t>(0, cut + 1);
      got += filter.Put(rest.substr(0, split));
      got += filter.Put(rest.substr(split, cut - split));
      filter.Restart();
    }
    got += filter.Put(Stream(filter.last().value_or(0) + 1, total));
    RC_ASSERT(got == Stream(1, total));
  });
}

TEST_CASE("an event that does not end breaks the stream off") {
  EventFilter filter(std::nullopt);
  CHECK(filter.Put(Stream(1, 2)) == Stream(1, 2));
  for (int part = 0; part < 20 && !filter.broken(); ++part) {
    CHECK(filter.Put(std::string(kMaxEventBytes / 10, 'x')).empty());
  }
  CHECK(filter.broken());
  filter.Restart();
  CHECK_FALSE(filter.broken());
  CHECK(filter.Put(Stream(3, 3)) == Stream(3, 3));
}

}  // namespace foxquay::relay
