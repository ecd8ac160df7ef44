#include "http/worker_response_reader.h"

#include <event2/util.h>

#include <utility>

#include "log/log.h"
#include "net/json_message.h"

namespace aldersill {
namespace {

constexpr std::size_t kMaxLineBytes = 65'536;  // longer than any valid line or report
constexpr std::size_t kMaxHeaderBytes = 32'768;

bool HasAnyValue(const LoadReport& report) {
  return report.cpu_share || report.free_slots || report.running_jobs || report.waiting;
}

Outcome OutcomeOf(AttemptLine::State state) {
  switch (state) {
    case AttemptLine::State::kDone:
      return Outcome::kServed;
    case AttemptLine::State::kReturned:
      return Outcome::kRejected;
    case AttemptLine::State::kLost:
      return Outcome::kLost;
    default:
      return Outcome::kError;
  }
}

}  // namespace

WorkerResponseReader::WorkerResponseReader(std::string address) : address_(std::move(address)) {
  http_parser_init(&parser_, HTTP_RESPONSE);
  parser_.data = this;
}

void WorkerResponseReader::Read(std::string_view bytes) {
  static const http_parser_settings settings = Callbacks();
  http_parser_execute(&parser_, &settings, bytes.data(), bytes.size());
}

void WorkerResponseReader::ReadEnd() { Read({}); }

std::vector<WorkerResponseReader::Progress> WorkerResponseReader::TakeProgress() {
  return std::exchange(progress_, {});
}

bool WorkerResponseReader::ReadUnterminatedResult() {
  if (has_result() || !request_id_ || parser_.status_code != 200)
    return has_result();
  try {
    ApplyLine(DecodeAttemptLine(undecoded_, *request_id_));
  } catch (const BadMessage&) {
    return false;
  }
  return has_result();
}

AttemptEnded WorkerResponseReader::TakeOutcome() {
  const bool is_probe = !request_id_;
  AttemptEnded ended;
  if (ReadUnterminatedResult()) {
    ended = std::move(*result_);
  } else if (parser_.status_code == 200) {
    ended.outcome = is_probe ? Outcome::kServed : Outcome::kLost;  // the attempt's final line is missing
  } else {
    const bool never_started = declined_ && (parser_.status_code == 503 || parser_.status_code == 504);
    ended.outcome = never_started ? Outcome::kRejected : Outcome::kError;
  }
  if (is_probe && parser_.status_code == 200)
    load_ = DecodeLoad(undecoded_);
  if (!HasAnyValue(ended.report))
    ended.report = load_;
  return ended;
}

// ---- Headers ----

http_parser_settings WorkerResponseReader::Callbacks() {
  http_parser_settings settings;
  http_parser_settings_init(&settings);
  settings.on_header_field = &WorkerResponseReader::OnHeaderField;
  settings.on_header_value = &WorkerResponseReader::OnHeaderValue;
  settings.on_headers_complete = &WorkerResponseReader::OnHeadersComplete;
  settings.on_body = &WorkerResponseReader::OnBody;
  settings.on_message_complete = &WorkerResponseReader::OnMessageComplete;
  return settings;
}

WorkerResponseReader& WorkerResponseReader::Of(http_parser* parser) {
  return *static_cast<WorkerResponseReader*>(parser->data);
}

int WorkerResponseReader::OnHeaderField(http_parser* parser, const char* text, std::size_t size) {
  WorkerResponseReader& reader = Of(parser);
  if (!reader.header_value_.empty())
    reader.FinishHeader();
  reader.header_name_.append(text, size);
  return reader.CountHeaderBytes(size);
}

int WorkerResponseReader::OnHeaderValue(http_parser* parser, const char* text, std::size_t size) {
  Of(parser).header_value_.append(text, size);
  return Of(parser).CountHeaderBytes(size);
}

int WorkerResponseReader::OnHeadersComplete(http_parser* parser) {
  Of(parser).FinishHeader();
  return 0;
}

int WorkerResponseReader::CountHeaderBytes(std::size_t size) {
  header_bytes_ += size;
  return header_bytes_ > kMaxHeaderBytes ? 1 : 0;
}

void WorkerResponseReader::FinishHeader() {
  TrimTrailingSpace(&header_value_);
  const auto is = [this](const char* name) {
    return evutil_ascii_strcasecmp(header_name_.c_str(), name) == 0;
  };
  if (is("Srv-Load"))
    load_ = DecodeLoad(header_value_);
  if (is("Srv-Declined"))
    declined_ = header_value_ == "1";
  header_name_.clear();
  header_value_.clear();
}

// ---- Body ----

int WorkerResponseReader::OnBody(http_parser* parser, const char* text, std::size_t size) {
  return Of(parser).ReadBody({text, size});
}

int WorkerResponseReader::OnMessageComplete(http_parser* parser) {
  Of(parser).framing_complete_ = true;
  http_parser_pause(parser, 1);  // the bytes that follow are not part of this response
  return 0;
}

// Returns 0, or 1 to stop the parser with an error.
int WorkerResponseReader::ReadBody(std::string_view bytes) {
  if (has_result())
    return 0;
  std::size_t search_from = undecoded_.size();  // the bytes before contain no line end
  undecoded_.append(bytes);
  if (undecoded_.size() > kMaxLineBytes * 2)
    return 1;
  if (!request_id_ || parser_.status_code != 200)
    return 0;
  std::size_t line_start = 0;
  while (!has_result()) {
    const std::size_t line_end = undecoded_.find('\n', search_from);
    if (line_end == std::string::npos)
      break;
    if (!ReadLine(std::string_view(undecoded_).substr(line_start, line_end - line_start)))
      return 1;
    line_start = search_from = line_end + 1;
  }
  undecoded_.erase(0, line_start);
  return 0;
}

// Returns false if the line is not a valid line of a response to this attempt.
bool WorkerResponseReader::ReadLine(std::string_view line) {
  if (line.find_first_not_of(" \t\r") == std::string_view::npos)
    return true;
  try {
    ApplyLine(DecodeAttemptLine(line, *request_id_));
  } catch (const BadMessage& error) {
    Log(LogLevel::kWarning, "worker_response_invalid", {{"address", address_}, {"why", error.what()}});
    return false;
  }
  return true;
}

void WorkerResponseReader::ApplyLine(AttemptLine line) {
  if (line.state == AttemptLine::State::kStarted || line.state == AttemptLine::State::kRunning) {
    progress_.push_back({.started = line.state == AttemptLine::State::kStarted, .share = line.share});
    return;
  }
  result_ = AttemptEnded{{}, OutcomeOf(line.state), std::move(line.result), line.load};
}

}  // namespace aldersill
