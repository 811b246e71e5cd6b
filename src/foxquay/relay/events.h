#ifndef FOXQUAY_RELAY_EVENTS_H_
#define FOXQUAY_RELAY_EVENTS_H_

#include <cstdint>
#include <optional>
#include <string>

namespace foxquay::relay {

/// Passes on the events of a stream that may continue at another upstream:
/// only whole events, each once and in order.
///
/// Events are those of text/event-stream, separated by an empty line; the field
/// `id` numbers them. Not thread-safe.
class EventFilter {
 public:
  /// `after` is the last event that the caller has, if any.
  explicit EventFilter(std::optional<std::uint64_t> after) : last_(after) {}

  /// Takes bytes and returns the whole events to pass on.
  [[nodiscard]] std::string Put(const std::string& data);

  /// Starts over at another upstream; an incomplete event is dropped.
  void Restart();

  /// Returns the last event that was passed on or that the caller had.
  [[nodiscard]] std::optional<std::uint64_t> last() const noexcept {
    return last_;
  }
  /// Returns whether an event was skipped, so that the stream must end.
  [[nodiscard]] bool broken() const noexcept { return broken_; }
  /// Returns whether the bytes so far end between two events.
  [[nodiscard]] bool between_events() const noexcept {
    return partial_.empty();
  }
  /// Returns the number of events passed on.
  [[nodiscard]] std::uint64_t passed() const noexcept { return passed_; }

 private:
  [[nodiscard]] bool Accept(const std::string& event);

  std::string partial_;
  std::optional<std::uint64_t> last_;
  bool restarted_ = false;
  bool broken_ = false;
  std::uint64_t passed_ = 0;
};

}  // namespace foxquay::relay

#endif  // FOXQUAY_RELAY_EVENTS_H_
