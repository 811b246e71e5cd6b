#ifndef FOXQUAY_TESTS_PLATFORM_SOAK_AFTER_H_
#define FOXQUAY_TESTS_PLATFORM_SOAK_AFTER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>

#include "foxquay/core/time.h"

namespace foxquay::platform::soak {

/// Calls a function on the thread of the context after a time.
template <class Function>
void After(boost::asio::io_context& context, core::Duration duration,
           Function function) {
  const auto timer =
      std::make_shared<boost::asio::steady_timer>(context, duration);
  timer->async_wait([timer, function = std::move(function)](
                        const boost::system::error_code& error) mutable {
    if (!error) function();
  });
}

}  // namespace foxquay::platform::soak

#endif  // FOXQUAY_TESTS_PLATFORM_SOAK_AFTER_H_
