#ifndef FOXQUAY_TESTS_PLATFORM_SOAK_AFTER_H_
#define FOXQUAY_TESTS_PLATFORM_SOAK_AFTER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>

#include "foxquay/core/time.h"

namespace foxquay::platform::soak {

/// Calls `function` once on a thread that runs `context`, `duration` from now;
/// never, if the context is destroyed before.
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
