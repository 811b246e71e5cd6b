#ifndef FOXQUAY_LOG_LOG_H_
#define FOXQUAY_LOG_LOG_H_

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>

#include "foxquay/log/fwd.h"

namespace foxquay::log {

/// Severity of an event.
enum class Level : std::uint8_t { kDebug, kInfo, kWarn, kError };

/// One `key=value` pair of an event.
struct Field {
  std::string_view key;
  std::string value;

  Field(std::string_view name, std::string text)
      : key(name), value(std::move(text)) {}

  /// Formats a value with its stream operator.
  template <class T>
  requires(!std::convertible_to<T, std::string>)
      Field(std::string_view name, const T& printable)
      : key(name) {
    std::ostringstream out;
    out << printable;
    value = std::move(out).str();
  }
};

/// Writes events of at least `level` to `file`, or to standard output if `file`
/// is empty. Not thread-safe; call once, before other threads write.
void Configure(Level level, const std::string& file);

/// Sets the lowest level that is written. Thread-safe.
void SetLevel(Level level);

/// Returns the level called debug, info, warn or error; kInfo for any other
/// name.
[[nodiscard]] Level ParseLevel(std::string_view name) noexcept;

/// Formats an event as `event=NAME key=value ...`. Values that are empty or
/// contain spaces, quotes, `=`, backslashes or control characters are quoted;
/// control characters become spaces. Thread-safe.
[[nodiscard]] std::string Format(std::string_view event,
                                 std::initializer_list<Field> fields);

/// Writes one event as one line. Thread-safe.
void Write(Level level, std::string_view event,
           std::initializer_list<Field> fields);

/// Writes a line that Format has returned. Thread-safe.
void WriteLine(Level level, const std::string& line);

}  // namespace foxquay::log

#endif  // FOXQUAY_LOG_LOG_H_
