// Reads requests from the bytes of a client connection, one at a time, with http_parser. Rejects input that
// http_parser would accept but that a worker might interpret differently: a bare LF, obsolete line folding,
// control characters, and a length that is given twice, not in digits, or together with Transfer-Encoding.
#ifndef ALDERSILL_SRC_HTTP_REQUEST_READER_H_
#define ALDERSILL_SRC_HTTP_REQUEST_READER_H_

#include <http_parser.h>

#include <string>
#include <string_view>

#include "http/codec.h"

namespace aldersill {

class RequestReader {
 public:
  static constexpr std::size_t kMaxHeadBytes = 16'384;
  static constexpr std::size_t kMaxBodyBytes = 65'536;
  // Limit of a request with the framing of its chunks; the same amount is left for framing as for content.
  static constexpr std::size_t kMaxRequestBytes = 2 * (kMaxHeadBytes + kMaxBodyBytes);

  RequestReader() { Reset(); }
  RequestReader(const RequestReader&) = delete;
  RequestReader& operator=(const RequestReader&) = delete;

  // Reads from the start of `bytes`, at most to the end of the request, and returns how many bytes it has
  // read. Throws BadRequest if the request is malformed or too large; nothing more can then be read from the
  // connection.
  std::size_t Read(std::string_view bytes);
  // Whether the request has been read completely. The next byte belongs to the next request.
  bool complete() const { return complete_; }
  // Whether at least one byte of the request's head has been read.
  bool started() const { return !head_.empty(); }
  std::size_t buffered_bytes() const { return head_.size() + request_.body.size(); }
  // Whether the client waits for "100 Continue" before it sends the body. True only once for each request.
  bool TakeExpectContinue();
  HttpRequest& request() { return request_; }
  bool keep_alive() const { return keep_alive_; }
  // Discards the request and prepares for the next one.
  void Reset();

 private:
  // How often the fields occur that determine where a request ends and which host it addresses.
  struct FramingFields {
    int lengths = 0;
    int encodings = 0;
    int hosts = 0;
  };

  std::size_t ReadHead(std::string_view bytes);
  void ReadHeadByte(char byte);
  void CheckHeadByte(char byte) const;
  void FinishHead();
  void ReadFramingField(std::string_view name, std::string_view value, FramingFields* fields);
  std::size_t Parse(std::string_view bytes);

  static http_parser_settings Callbacks();
  static RequestReader& Of(http_parser* parser);
  static int OnUrl(http_parser* parser, const char* text, std::size_t size);
  static int OnHeaderField(http_parser* parser, const char* text, std::size_t size);
  static int OnHeaderValue(http_parser* parser, const char* text, std::size_t size);
  static int OnHeadersComplete(http_parser* parser);
  static int OnBody(http_parser* parser, const char* text, std::size_t size);
  static int OnMessageComplete(http_parser* parser);

  http_parser parser_;
  HttpRequest request_;
  std::string head_;
  // Empty lines before the head; after the head, bytes of chunk sizes, chunk extensions and trailers.
  std::size_t framing_bytes_ = 0;
  std::size_t head_lines_ = 0;  // complete lines of the head so far
  bool head_complete_ = false;
  bool complete_ = false;
  bool keep_alive_ = false;
  bool expects_continue_ = false;
  bool body_too_large_ = false;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_HTTP_REQUEST_READER_H_
