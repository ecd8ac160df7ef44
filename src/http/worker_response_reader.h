// Reads one worker's response: to an attempt, whose body is a sequence of JSON lines that ends with its
// result, or to a health check, whose body is a load report. Makes no calls of its own and owns no socket.
#ifndef ALDERSILL_SRC_HTTP_WORKER_RESPONSE_READER_H_
#define ALDERSILL_SRC_HTTP_WORKER_RESPONSE_READER_H_

#include <http_parser.h>

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/types.h"
#include "http/codec.h"

namespace aldersill {

class WorkerResponseReader {
 public:
  // A line that reports an attempt's progress.
  struct Progress {
    bool started = false;  // the worker has begun; otherwise it is still running
    double share = 0.0;    // of the work that is done
  };

  // `address`: the worker's, for the log. The response is one to a health check until ExpectResultOf.
  explicit WorkerResponseReader(std::string address);
  WorkerResponseReader(const WorkerResponseReader&) = delete;
  WorkerResponseReader& operator=(const WorkerResponseReader&) = delete;

  // The response is one to an attempt at the request of this id.
  void ExpectResultOf(std::string request_id) { request_id_ = std::move(request_id); }

  // Reads what has arrived. Bytes behind the end of the response are ignored.
  void Read(std::string_view bytes);
  // The connection has ended, which ends a response without another framing.
  void ReadEnd();

  // The response has ended by its framing.
  bool framing_complete() const { return framing_complete_; }
  // The last line of an attempt has been read.
  bool has_result() const { return result_.has_value(); }
  // The response is malformed or too large.
  bool malformed() const { return HTTP_PARSER_ERRNO(&parser_) != HPE_OK; }

  // Removes and returns the attempt's progress lines.
  std::vector<Progress> TakeProgress();
  // Once no more arrives: reads a last line whose line end is missing. No proper part of a JSON object is an
  // object itself, so a line that can be decoded is complete, and one that cannot was cut. True if there is a
  // result.
  bool ReadUnterminatedResult();

  // How the attempt or the health check has ended; `attempt` is not set. To be called once, after the end of
  // the response.
  AttemptEnded TakeOutcome();
  // From a header or a health check's body, as far as it is read.
  const LoadReport& load() const { return load_; }

 private:
  static http_parser_settings Callbacks();
  static WorkerResponseReader& Of(http_parser* parser);
  static int OnHeaderField(http_parser* parser, const char* text, std::size_t size);
  static int OnHeaderValue(http_parser* parser, const char* text, std::size_t size);
  static int OnHeadersComplete(http_parser* parser);
  static int OnBody(http_parser* parser, const char* text, std::size_t size);
  static int OnMessageComplete(http_parser* parser);

  int CountHeaderBytes(std::size_t size);
  void FinishHeader();
  int ReadBody(std::string_view bytes);
  bool ReadLine(std::string_view line);
  void ApplyLine(AttemptLine line);

  const std::string address_;
  std::optional<std::string> request_id_;  // of an attempt
  http_parser parser_;
  std::size_t header_bytes_ = 0;
  std::string header_name_;
  std::string header_value_;
  std::string unread_;  // of the body: an incomplete line, or the body of a health check
  bool declined_ = false;
  bool framing_complete_ = false;
  LoadReport load_;
  std::vector<Progress> progress_;
  std::optional<AttemptEnded> result_;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_HTTP_WORKER_RESPONSE_READER_H_
