// Parses a worker's response: to an attempt, whose body is a sequence of JSON lines that ends with the
// result, or to a health check, whose body is a load report. The reader calls no callbacks and owns no
// socket.
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
    bool started = false;  // the worker has started the job; otherwise the job is still running
    double share = 0.0;    // the fraction of the work that is done
  };

  // `address`: the worker's, for the log. The response is taken to answer a health check unless
  // ExpectResultOf is called.
  explicit WorkerResponseReader(std::string address);
  WorkerResponseReader(const WorkerResponseReader&) = delete;
  WorkerResponseReader& operator=(const WorkerResponseReader&) = delete;

  // Declares the response to answer an attempt at the request with this ID.
  void ExpectResultOf(std::string request_id) { request_id_ = std::move(request_id); }

  // Parses bytes that have arrived. Bytes after the end of the response are ignored.
  void Read(std::string_view bytes);
  // To be called when the connection has ended, which also ends a response that has no other framing.
  void ReadEnd();

  // The response has ended according to its framing.
  bool framing_complete() const { return framing_complete_; }
  // The final line of an attempt's response has been read.
  bool has_result() const { return result_.has_value(); }
  // The response is malformed or too large.
  bool malformed() const { return HTTP_PARSER_ERRNO(&parser_) != HPE_OK; }

  // Removes and returns the attempt's progress lines.
  std::vector<Progress> TakeProgress();
  // To be called when no more bytes will arrive: reads a final line whose line end is missing. No proper
  // prefix of a JSON object is itself a JSON object, so a line that can be decoded is complete, and one that
  // cannot was truncated. True if there is a result.
  bool ReadUnterminatedResult();

  // Returns how the attempt or the health check has ended, without setting `attempt`. To be called once,
  // after the end of the response.
  AttemptEnded TakeOutcome();
  // The load report read so far, from a header or a health check's body.
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
  std::optional<std::string> request_id_;  // set if the response answers an attempt
  http_parser parser_;
  std::size_t header_bytes_ = 0;
  std::string header_name_;
  std::string header_value_;
  std::string undecoded_;  // from the body: an incomplete line, or a health check's load report
  bool declined_ = false;  // header Srv-Declined: the worker has not started the job
  bool framing_complete_ = false;
  LoadReport load_;
  std::vector<Progress> progress_;
  std::optional<AttemptEnded> result_;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_HTTP_WORKER_RESPONSE_READER_H_
