// Reads one request at a time off a service client's bytes. The grammar is http_parser's; what it would let
// pass, and a peer might read otherwise than the instance behind us, is refused here: bare LF, obsolete
// folding, control characters, a length given twice, in words, or beside Transfer-Encoding.
#ifndef ALDERSILL_SRC_HTTP_REQUEST_READER_H_
#define ALDERSILL_SRC_HTTP_REQUEST_READER_H_

#include <http_parser.h>

#include <string>
#include <string_view>
#include <vector>

#include "http/codec.h"

namespace aldersill {

class RequestReader {
 public:
  static constexpr std::size_t kMostHead = 16 * 1024;
  static constexpr std::size_t kMostBody = 64 * 1024;
  static constexpr std::size_t kMostBytes = 2 * (kMostHead + kMostBody);  // with what frames its chunks

  RequestReader() { Reset(); }
  RequestReader(const RequestReader&) = delete;
  RequestReader& operator=(const RequestReader&) = delete;

  // Takes bytes off the frontend of what has come; how many. Throws BadRequest: what follows then cannot be
  // read.
  std::size_t Read(std::string_view bytes);
  // Whether all of the request has come. The bytes behind it are the next one's.
  bool whole() const { return whole_; }
  bool begun() const { return !head_.empty(); }
  std::size_t held() const { return head_.size() + request_.body.size(); }
  // Whether the client waits for a word before it sends the body; true once.
  bool WantsContinue();
  HttpRequest& request() { return request_; }
  bool keep_alive() const { return keep_alive_; }
  void Reset();

 private:
  std::size_t ReadHead(std::string_view bytes);
  void EndHead();
  void Execute(std::string_view bytes, std::size_t* read);
  static http_parser_settings Callbacks();

  http_parser parser_;
  HttpRequest request_;
  std::string head_;
  std::size_t beyond_body_ = 0;  // chunk sizes, extensions and trailers
  std::size_t line_ends_ = 0;
  bool head_done_ = false;
  bool whole_ = false;
  bool keep_alive_ = false;
  bool wants_continue_ = false;
  bool too_large_ = false;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_HTTP_REQUEST_READER_H_
