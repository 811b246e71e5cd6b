#ifndef FOXQUAY_RELAY_EVENTS_H_
#define FOXQUAY_RELAY_EVENTS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace foxquay::relay {

/// Maximum size of one event in bytes, several times that of a whole answer of
/// a model. Bounds what an event that never ends holds in memory.
inline constexpr std::size_t kMaxEventBytes = std::size_t{1} << 20U;

/// Filters an event stream that may be resumed at another upstream, so that
/// only complete events are passed on, each once and in order.
///
/// Events are those of text/event-stream, separated by an empty line. They are
/// numbered by their `id` field. Not thread-safe.
class EventFilter {
 public:
  /// `after` is the id of the last event that the caller has, if any.
  explicit EventFilter(std::optional<std::uint64_t> after) : last_(after) {}

  /// Appends bytes of the stream and returns the complete events to pass on.
  [[nodiscard]] std::string Put(const std::string& data);

  /// Continues with the stream of another upstream; drops an incomplete event.
  void Restart();

  /// Returns the id of the last event that was passed on or, before the first,
  /// of the last one that the caller had.
  [[nodiscard]] std::optional<std::uint64_t> last() const noexcept {
    return last_;
  }
  /// Returns whether the stream must be ended: a resumed one skipped an event,
  /// or an event is larger than kMaxEventBytes.
  [[nodiscard]] bool broken() const noexcept { return broken_; }
  /// Returns whether the bytes received so far end with a complete event.
  [[nodiscard]] bool between_events() const noexcept {
    return partial_.empty();
  }
  /// Returns the number of events passed on.
  [[nodiscard]] std::uint64_t passed() const noexcept { return passed_; }

 private:
  /// Returns whether to pass an event on; sets `broken_` if one was skipped.
  [[nodiscard]] bool Accept(const std::string& event);

  std::string partial_;  ///< Bytes of an incomplete event.
  std::optional<std::uint64_t> last_;
  bool restarted_ = false;
  bool broken_ = false;
  std::uint64_t passed_ = 0;
};

}  // namespace foxquay::relay

#endif  // FOXQUAY_RELAY_EVENTS_H_
