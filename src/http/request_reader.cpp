#include "http/request_reader.h"

#include <algorithm>
#include <utility>

namespace aldersill {
namespace {

bool IsTokenChar(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

}  // namespace

void RequestReader::Reset() {
  http_parser_init(&parser_, HTTP_REQUEST);
  parser_.data = this;
  request_ = {};
  head_.clear();
  beyond_body_ = line_ends_ = 0;
  head_done_ = whole_ = keep_alive_ = wants_continue_ = too_large_ = false;
}

bool RequestReader::WantsContinue() { return std::exchange(wants_continue_, false); }

std::size_t RequestReader::Read(std::string_view bytes) {
  std::size_t read = 0;
  if (!head_done_)
    read = ReadHead(bytes);
  if (!head_done_ || whole_ || read == bytes.size())
    return read;
  Execute(bytes.substr(read), &read);
  return read;
}

// Byte by byte, so that what is wrong is told at once, however much of the rest never comes.
std::size_t RequestReader::ReadHead(std::string_view bytes) {
  std::size_t read = 0;
  for (const char c : bytes) {
    ++read;
    const char before = head_.empty() ? '\0' : head_.back();
    const bool line_begins = head_.empty() || before == '\n';
    if (before == '\r' && c != '\n')
      throw BadRequest(400, "a CR without its LF");
    if (c == '\n' && before != '\r')
      throw BadRequest(400, "an LF without its CR");
    if ((static_cast<unsigned char>(c) < ' ' && c != '\r' && c != '\n' && c != '\t') || c == '\x7f')
      throw BadRequest(400, "a control character");
    if (line_begins && (c == ' ' || c == '\t'))
      throw BadRequest(400, "a line that begins with a space");
    // Before the parser sees it, which takes a tab behind a length for a part of that.
    if (c == '\r' && line_ends_ > 0)
      TrimTrailingSpace(&head_);
    head_.push_back(c);
    if (head_ == "\r\n") {  // one empty line before a request is forgiven, as RFC 9112 asks
      head_.clear();
      if (beyond_body_++ > 0)
        throw BadRequest(400, "empty lines");
      continue;
    }
    if (c == '\n' && line_ends_++ == 0 && head_.find(" HTTP/1.") == std::string::npos)
      throw BadRequest(400, "no HTTP/1 request");
    if (head_.ends_with("\r\n\r\n")) {
      beyond_body_ = 0;
      std::size_t parsed = 0;
      Execute(head_, &parsed);
      EndHead();
      return read;
    }
    if (head_.size() >= kMostHead)
      throw BadRequest(431, "the head is too large");
  }
  return read;
}

void RequestReader::EndHead() {
  head_done_ = true;
  std::size_t lengths = 0, encodings = 0, hosts = 0;
  for (const auto& [name, value] : request_.headers) {
    if (name.empty() || !std::all_of(name.begin(), name.end(), IsTokenChar))
      throw BadRequest(400, "a field's name is no token");
    const std::string lower = LowerCase(name);
    if (lower == "content-length") {
      ++lengths;
      if (value.empty() || value.find_first_not_of("0123456789") != std::string::npos)
        throw BadRequest(400, "Content-Length must be digits");
    }
    if (lower == "transfer-encoding") {
      ++encodings;
      if (LowerCase(value) != "chunked")
        throw BadRequest(400, "Transfer-Encoding must be chunked");
    }
    if (lower == "host")
      ++hosts;
    if (lower == "expect")
      wants_continue_ = LowerCase(value) == "100-continue";
  }
  if (lengths + encodings > 1)
    throw BadRequest(400, "more than one length");
  if (hosts > 1)
    throw BadRequest(400, "more than one Host");
  if (lengths == 1 && parser_.content_length != ULLONG_MAX && parser_.content_length > kMostBody)
    throw BadRequest(413, "the body is too large");
  wants_continue_ = wants_continue_ && !whole_;
}

void RequestReader::Execute(std::string_view bytes, std::size_t* read) {
  static const http_parser_settings kSettings = Callbacks();
  const std::size_t body = request_.body.size();
  const std::size_t parsed = http_parser_execute(&parser_, &kSettings, bytes.data(), bytes.size());
  *read += parsed;
  if (too_large_)
    throw BadRequest(413, "the body is too large");
  if (!whole_ && HTTP_PARSER_ERRNO(&parser_) != HPE_OK)
    throw BadRequest(400, http_errno_description(HTTP_PARSER_ERRNO(&parser_)));
  // Chunks may be cut as small as a byte, and trailers go on for ever.
  if (head_done_)
    beyond_body_ += parsed - std::min(parsed, request_.body.size() - body);
  if (beyond_body_ > kMostHead + kMostBody)
    throw BadRequest(400, "chunks hold too little");
}

http_parser_settings RequestReader::Callbacks() {
  const auto of = [](http_parser* p) -> RequestReader& { return *static_cast<RequestReader*>(p->data); };
  static const auto kOf = of;
  http_parser_settings s;
  http_parser_settings_init(&s);
  s.on_url = [](http_parser* p, const char* at, std::size_t size) {
    kOf(p).request_.target.append(at, size);
    return 0;
  };
  // The head is parsed in one piece, so that names and values come whole; those of trailers are let go.
  s.on_header_field = [](http_parser* p, const char* at, std::size_t size) {
    RequestReader& r = kOf(p);
    if (!r.head_done_)
      r.request_.headers.emplace_back(std::string(at, size), "");
    return 0;
  };
  s.on_header_value = [](http_parser* p, const char* at, std::size_t size) {
    RequestReader& r = kOf(p);
    if (!r.head_done_ && !r.request_.headers.empty())
      r.request_.headers.back().second.append(at, size);
    return 0;
  };
  s.on_headers_complete = [](http_parser* p) {
    RequestReader& r = kOf(p);
    r.request_.method = http_method_str(static_cast<http_method>(p->method));
    r.keep_alive_ = http_should_keep_alive(p) != 0;
    return 0;
  };
  s.on_body = [](http_parser* p, const char* at, std::size_t size) {
    RequestReader& r = kOf(p);
    if (r.request_.body.size() + size > kMostBody) {
      r.too_large_ = true;
      return 1;
    }
    r.request_.body.append(at, size);
    return 0;
  };
  s.on_message_complete = [](http_parser* p) {
    kOf(p).whole_ = true;
    http_parser_pause(p, 1);  // what follows is the next request
    return 0;
  };
  return s;
}

}  // namespace aldersill
