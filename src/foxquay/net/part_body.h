#ifndef FOXQUAY_NET_PART_BODY_H_
#define FOXQUAY_NET_PART_BODY_H_

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

namespace foxquay::net {

/// A body whose parts are taken from its value while it is received. Unlike
/// that of string_body, its reader reserves no memory for a length that the
/// peer has only announced.
struct PartBody {
  using value_type = std::string;  // NOLINT: name required by Boost.Beast

  class reader {  // NOLINT: name required by Boost.Beast
   public:
    template <bool kIsRequest, class Fields>
    reader(boost::beast::http::header<kIsRequest, Fields>&, value_type& body)
        : body_(body) {}

    void init(const boost::optional<std::uint64_t>&,  // NOLINT: as above
              boost::beast::error_code& error) {
      error = {};
    }

    template <class Buffers>
    std::size_t put(const Buffers& buffers,  // NOLINT: as above
                    boost::beast::error_code& error) {
      error = {};
      std::size_t size = 0;
      for (auto part = boost::asio::buffer_sequence_begin(buffers);
           part != boost::asio::buffer_sequence_end(buffers); ++part) {
        const boost::asio::const_buffer bytes = *part;
        body_.append(static_cast<const char*>(bytes.data()), bytes.size());
        size += bytes.size();
      }
      return size;
    }

    void finish(boost::beast::error_code& error) {  // NOLINT: as above
      error = {};
    }

   private:
    value_type& body_;
  };
};

}  // namespace foxquay::net

#endif  // FOXQUAY_NET_PART_BODY_H_
