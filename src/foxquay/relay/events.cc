#include "foxquay/relay/events.h"

#include <charconv>
#include <string_view>

namespace foxquay::relay {
namespace internal {

/// Returns the number in the `id` field of an event, if there is one.
std::optional<std::uint64_t> ParseId(std::string_view event) {
  while (!event.empty()) {
    const std::size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    event = end == std::string_view::npos ? std::string_view()
                                          : event.substr(end + 1);
    if (line.substr(0, 3) != "id:") continue;
    line.remove_prefix(3);
    while (!line.empty() && line.front() == ' ') line.remove_prefix(1);
    std::uint64_t id = 0;
    const auto parsed =
        std::from_chars(line.data(), line.data() + line.size(), id);
    if (parsed.ec == std::errc()) return id;
  }
  return std::nullopt;
}

/// Returns the offset after the empty line that ends the first event in `data`
/// at or after `from`, or npos if that event is incomplete.
std::size_t FindEventEnd(const std::string& data, std::size_t from) {
  for (std::size_t at = data.find('\n', from); at != std::string::npos;
       at = data.find('\n', at + 1)) {
    std::size_t next = at + 1;
    if (next < data.size() && data[next] == '\r') ++next;
    if (next < data.size() && data[next] == '\n') return next + 1;
  }
  return std::string::npos;
}

}  // namespace internal

bool EventFilter::Accept(const std::string& event) {
  const std::optional<std::uint64_t> id = internal::ParseId(event);
  if (!id) return !restarted_;
  if (last_ && *id <= *last_) return false;
  if (restarted_ && last_ && *id != *last_ + 1) {
    broken_ = true;
    return false;
  }
  last_ = id;
  return true;
}

std::string EventFilter::Put(const std::string& data) {
  partial_ += data;
  std::string passed;
  std::size_t from = 0;
  while (!broken_) {
    const std::size_t end = internal::FindEventEnd(partial_, from);
    if (end == std::string::npos) break;
    const std::string event = partial_.substr(from, end - from);
    from = end;
    if (!Accept(event)) continue;
    passed += event;
    ++passed_;
  }
  partial_.erase(0, from);
  if (partial_.size() > kMaxEventBytes) {
    broken_ = true;
    partial_.clear();
  }
  return passed;
}

void EventFilter::Restart() {
  partial_.clear();
  restarted_ = true;
  broken_ = false;
}

}  // namespace foxquay::relay
