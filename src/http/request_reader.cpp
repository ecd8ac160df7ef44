#include "http/request_reader.h"

#include <algorithm>
#include <climits>
#include <utility>

namespace aldersill {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";

bool IsTokenChar(char character) {
  return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'z') ||
         (character >= 'A' && character <= 'Z') ||
         std::string_view("!#$%&'*+-.^_`|~").find(character) != std::string_view::npos;
}

}  // namespace

void RequestReader::Reset() {
  http_parser_init(&parser_, HTTP_REQUEST);
  parser_.data = this;
  request_ = {};
  head_.clear();
  framing_bytes_ = head_lines_ = 0;
  head_complete_ = complete_ = keep_alive_ = expects_continue_ = body_too_large_ = false;
}

bool RequestReader::TakeExpectContinue() { return std::exchange(expects_continue_, false); }

std::size_t RequestReader::Read(std::string_view bytes) {
  std::size_t read = 0;
  if (!head_complete_)
    read = ReadHead(bytes);
  if (!head_complete_ || complete_ || read == bytes.size())
    return read;
  return read + Parse(bytes.substr(read));
}

// ---- Head ----

// Reads the head byte by byte, so that an error is reported at once even if the rest of the head never
// arrives.
std::size_t RequestReader::ReadHead(std::string_view bytes) {
  std::size_t read = 0;
  for (const char byte : bytes) {
    ++read;
    ReadHeadByte(byte);
    if (head_.ends_with(kHeadEnd)) {
      framing_bytes_ = 0;
      Parse(head_);
      FinishHead();
      return read;
    }
    if (head_.size() >= kMaxHeadBytes)
      throw BadRequest(431, "the head is too large");
  }
  return read;
}

void RequestReader::CheckHeadByte(char byte) const {
  const char previous = head_.empty() ? '\0' : head_.back();
  const bool line_begins = head_.empty() || previous == '\n';
  if (previous == '\r' && byte != '\n')
    throw BadRequest(400, "a CR without its LF");
  if (byte == '\n' && previous != '\r')
    throw BadRequest(400, "an LF without its CR");
  if ((static_cast<unsigned char>(byte) < ' ' && byte != '\r' && byte != '\n' && byte != '\t') ||
      byte == '\x7f')
    throw BadRequest(400, "a control character");
  if (line_begins && (byte == ' ' || byte == '\t'))
    throw BadRequest(400, "a line that begins with a space");
}

void RequestReader::ReadHeadByte(char byte) {
  CheckHeadByte(byte);
  // Trimmed before http_parser reads the head, as it takes a tab after a length as part of the value.
  if (byte == '\r' && head_lines_ > 0)
    TrimTrailingSpace(&head_);
  head_.push_back(byte);
  if (head_ == kLineEnd) {  // RFC 9112 allows one empty line before a request
    head_.clear();
    if (framing_bytes_++ > 0)
      throw BadRequest(400, "empty lines");
    return;
  }
  if (byte == '\n' && head_lines_++ == 0 && head_.find(" HTTP/1.") == std::string::npos)
    throw BadRequest(400, "no HTTP/1 request");
}

void RequestReader::FinishHead() {
  head_complete_ = true;
  FramingFields fields;
  for (const auto& [name, value] : request_.headers) {
    if (name.empty() || !std::all_of(name.begin(), name.end(), IsTokenChar))
      throw BadRequest(400, "a field's name is no token");
    ReadFramingField(name, value, &fields);
  }
  if (fields.lengths + fields.encodings > 1)
    throw BadRequest(400, "more than one length");
  if (fields.hosts > 1)
    throw BadRequest(400, "more than one Host");
  if (fields.lengths == 1 && parser_.content_length != ULLONG_MAX && parser_.content_length > kMaxBodyBytes)
    throw BadRequest(413, "the body is too large");
  expects_continue_ = expects_continue_ && !complete_;
}

void RequestReader::ReadFramingField(std::string_view name, std::string_view value, FramingFields* fields) {
  const std::string lower_name = LowerCase(name);
  if (lower_name == "content-length") {
    ++fields->lengths;
    if (value.empty() || value.find_first_not_of("0123456789") != std::string_view::npos)
      throw BadRequest(400, "Content-Length must be digits");
  }
  if (lower_name == "transfer-encoding") {
    ++fields->encodings;
    if (LowerCase(value) != "chunked")
      throw BadRequest(400, "Transfer-Encoding must be chunked");
  }
  if (lower_name == "host")
    ++fields->hosts;
  if (lower_name == "expect")
    expects_continue_ = LowerCase(value) == "100-continue";
}

// ---- http_parser ----

// Returns how many bytes it has read.
std::size_t RequestReader::Parse(std::string_view bytes) {
  static const http_parser_settings settings = Callbacks();
  const std::size_t body_before = request_.body.size();
  const std::size_t parsed = http_parser_execute(&parser_, &settings, bytes.data(), bytes.size());
  if (body_too_large_)
    throw BadRequest(413, "the body is too large");
  if (!complete_ && HTTP_PARSER_ERRNO(&parser_) != HPE_OK)
    throw BadRequest(400, http_errno_description(HTTP_PARSER_ERRNO(&parser_)));
  // The limit of the body does not bound the framing: chunks may be as small as one byte, and http_parser
  // sets no limit for trailers.
  if (head_complete_)
    framing_bytes_ += parsed - std::min(parsed, request_.body.size() - body_before);
  if (framing_bytes_ > kMaxHeadBytes + kMaxBodyBytes)
    throw BadRequest(400, "chunks hold too little");
  return parsed;
}

http_parser_settings RequestReader::Callbacks() {
  http_parser_settings settings;
  http_parser_settings_init(&settings);
  settings.on_url = &RequestReader::OnUrl;
  settings.on_header_field = &RequestReader::OnHeaderField;
  settings.on_header_value = &RequestReader::OnHeaderValue;
  settings.on_headers_complete = &RequestReader::OnHeadersComplete;
  settings.on_body = &RequestReader::OnBody;
  settings.on_message_complete = &RequestReader::OnMessageComplete;
  return settings;
}

RequestReader& RequestReader::Of(http_parser* parser) { return *static_cast<RequestReader*>(parser->data); }

int RequestReader::OnUrl(http_parser* parser, const char* text, std::size_t size) {
  Of(parser).request_.target.append(text, size);
  return 0;
}

// http_parser gets the head in one piece, so each name and value arrives complete. Trailers are dropped.
int RequestReader::OnHeaderField(http_parser* parser, const char* text, std::size_t size) {
  RequestReader& reader = Of(parser);
  if (!reader.head_complete_)
    reader.request_.headers.emplace_back(std::string(text, size), "");
  return 0;
}

int RequestReader::OnHeaderValue(http_parser* parser, const char* text, std::size_t size) {
  RequestReader& reader = Of(parser);
  if (!reader.head_complete_ && !reader.request_.headers.empty())
    reader.request_.headers.back().second.append(text, size);
  return 0;
}

int RequestReader::OnHeadersComplete(http_parser* parser) {
  RequestReader& reader = Of(parser);
  reader.request_.method = http_method_str(static_cast<http_method>(parser->method));
  reader.keep_alive_ = http_should_keep_alive(parser) != 0;
  return 0;
}

int RequestReader::OnBody(http_parser* parser, const char* text, std::size_t size) {
  RequestReader& reader = Of(parser);
  if (reader.request_.body.size() + size > kMaxBodyBytes) {
    reader.body_too_large_ = true;
    return 1;
  }
  reader.request_.body.append(text, size);
  return 0;
}

int RequestReader::OnMessageComplete(http_parser* parser) {
  Of(parser).complete_ = true;
  http_parser_pause(parser, 1);  // later bytes belong to the next request
  return 0;
}

}  // namespace aldersill
