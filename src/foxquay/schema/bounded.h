#ifndef FOXQUAY_SCHEMA_BOUNDED_H_
#define FOXQUAY_SCHEMA_BOUNDED_H_

#include <cereal/cereal.hpp>
#include <chrono>
#include <cstddef>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

#include "foxquay/core/id.h"

namespace foxquay::schema {

/// Longest identifier in a message, in bytes.
inline constexpr std::size_t kMaxIdBytes = 128;

/// Reference to a string or vector whose size is checked when it is encoded,
/// and before it is allocated for decoding.
template <class T>
struct Bounded {
  T& value;
  std::size_t max;
};

/// Combines a string or vector with its largest size, in bytes or elements.
template <class T>
[[nodiscard]] Bounded<T> Bound(T& value, std::size_t max) {
  return {value, max};
}

namespace internal {

inline void CheckSize(std::size_t size, std::size_t max) {
  if (size > max) throw cereal::Exception("size exceeds its bound");
}

template <class Archive>
std::size_t LoadSize(Archive& archive, std::size_t max) {
  cereal::size_type size = 0;
  archive(cereal::make_size_tag(size));
  CheckSize(static_cast<std::size_t>(size), max);
  return static_cast<std::size_t>(size);
}

template <class Archive, class T>
void TransferElement(Archive& archive, T& element) {
  if constexpr (std::is_same_v<T, std::string>) {
    archive(Bound(element, kMaxIdBytes));
  } else {
    archive(element);
  }
}

}  // namespace internal

template <class Archive>
void save(Archive& archive, const Bounded<std::string>& bounded) {
  internal::CheckSize(bounded.value.size(), bounded.max);
  archive(cereal::make_size_tag(
      static_cast<cereal::size_type>(bounded.value.size())));
  archive(cereal::binary_data(bounded.value.data(), bounded.value.size()));
}

template <class Archive>
void load(Archive& archive, Bounded<std::string>& bounded) {
  bounded.value.resize(internal::LoadSize(archive, bounded.max));
  archive(cereal::binary_data(bounded.value.data(), bounded.value.size()));
}

template <class Archive, class T>
void save(Archive& archive, const Bounded<std::vector<T>>& bounded) {
  internal::CheckSize(bounded.value.size(), bounded.max);
  archive(cereal::make_size_tag(
      static_cast<cereal::size_type>(bounded.value.size())));
  for (T& element : bounded.value) {
    internal::TransferElement(archive, element);
  }
}

template <class Archive, class T>
void load(Archive& archive, Bounded<std::vector<T>>& bounded) {
  bounded.value.resize(internal::LoadSize(archive, bounded.max));
  for (T& element : bounded.value) {
    internal::TransferElement(archive, element);
  }
}

}  // namespace foxquay::schema

namespace cereal {

template <class Archive, class Tag>
void save(Archive& archive, const foxquay::core::StringId<Tag>& id) {
  std::string value = id.value();
  archive(foxquay::schema::Bound(value, foxquay::schema::kMaxIdBytes));
}

template <class Archive, class Tag>
void load(Archive& archive, foxquay::core::StringId<Tag>& id) {
  std::string value;
  archive(foxquay::schema::Bound(value, foxquay::schema::kMaxIdBytes));
  id = foxquay::core::StringId<Tag>(std::move(value));
}

template <class Archive, class Rep, class Period>
void save(Archive& archive,
          const std::chrono::duration<Rep, Period>& duration) {
  archive(duration.count());
}

template <class Archive, class Rep, class Period>
void load(Archive& archive, std::chrono::duration<Rep, Period>& duration) {
  Rep count{};
  archive(count);
  duration = std::chrono::duration<Rep, Period>(count);
}

template <class Archive, class Clock, class Period>
void save(Archive& archive,
          const std::chrono::time_point<Clock, Period>& point) {
  archive(point.time_since_epoch());
}

template <class Archive, class Clock, class Period>
void load(Archive& archive, std::chrono::time_point<Clock, Period>& point) {
  Period since_epoch{};
  archive(since_epoch);
  point = std::chrono::time_point<Clock, Period>(since_epoch);
}

}  // namespace cereal

#endif  // FOXQUAY_SCHEMA_BOUNDED_H_
