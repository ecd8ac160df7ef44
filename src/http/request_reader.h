// Reads requests from a client connection's bytes, one at a time. The grammar is http_parser's; what it would
// accept and a worker behind us might read differently is rejected here: a bare LF, obsolete line folding,
// control characters, and a length that is given twice, in words, or beside Transfer-Encoding.
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
  // With the framing of its chunks.
  static constexpr std::size_t kMaxRequestBytes = 2 * (kMaxHeadBytes + kMaxBodyBytes);

  RequestReader() { Reset(); }
  RequestReader(const RequestReader&) = delete;
  RequestReader& operator=(const RequestReader&) = delete;

  // Reads from the start of `bytes`, at most to the end of the request; returns how many bytes it has read.
  // Throws BadRequest: then nothing more can be read from the connection.
  std::size_t Read(std::string_view bytes);
  // The request has been read completely; the next byte belongs to another.
  bool complete() const { return complete_; }
  // At least one byte of the request has been read.
  bool started() const { return !head_.empty(); }
  std::size_t buffered_bytes() const { return head_.size() + request_.body.size(); }
  // Whether the client waits for "100 Continue" before it sends the body; true once.
  bool TakeExpectContinue();
  HttpRequest& request() { return request_; }
  bool keep_alive() const { return keep_alive_; }
  // Starts with the next request.
  void Reset();

 private:
  // Counts of the fields that say where a request ends and for whom it is.
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
  std::size_t framing_bytes_ = 0;  // empty lines before the head; chunk sizes, extensions and trailers
  std::size_t head_lines_ = 0;
  bool head_complete_ = false;
  bool complete_ = false;
  bool keep_alive_ = false;
  bool expects_continue_ = false;
  bool body_too_large_ = false;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_HTTP_REQUEST_READER_H_
