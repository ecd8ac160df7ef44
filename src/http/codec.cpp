#include "http/codec.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <initializer_list>
#include <nlohmann/json.hpp>

namespace aldersill {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxFieldBytes = 1'024;             // limit of a field that is forwarded
constexpr std::int64_t kMaxCostMicros = 3'600'000'000;    // no plausible estimate exceeds an hour
constexpr std::int64_t kMaxDeadline = 1'000'000'000'000;  // in the unit of the text, m or u
constexpr std::uint64_t kSubjectMask = (1ULL << 53) - 1;  // such numbers are exact in a double
constexpr double kMaxSlots = 1e6;
constexpr const char* kMalformedDeadline = "deadline must be a number and a unit";
constexpr std::uint64_t kFnvOffset = 0xcbf29ce484222325ULL;  // FNV-1a, 64 bits
constexpr std::uint64_t kFnvPrime = 0x100000001b3ULL;

LoadReport DecodeLoadObject(const Json& json) {
  LoadReport load;
  if (!json.is_object())
    return load;
  const auto read = [&](std::optional<double>* field, std::initializer_list<const char*> names) {
    for (const char* name : names) {
      const auto found = json.find(name);
      if (found != json.end() && found->is_number())
        *field = found->get<double>();
    }
  };
  // The platform's settings and its documentation use different names for the same fields. Both are accepted.
  read(&load.running_jobs, {"inflight", "busy_reqs"});
  read(&load.waiting, {"queue", "pending"});
  read(&load.cpu_share, {"util", "cpu_share"});
  read(&load.service_ms, {"latency_ms", "svc_ms"});
  read(&load.served_per_s, {"qps", "served_ps"});
  read(&load.errors_per_s, {"eps", "failed_ps"});
  read(&load.free_slots, {"x0"});
  return load;
}

// Returns nothing unless the whole text is a number.
template <typename T>
std::optional<T> ParseNumber(std::string_view text) {
  T value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size())
    return std::nullopt;
  return value;
}

bool IsVisible(char character) { return character > ' ' && character <= '~'; }

// The value of a field; empty if it is missing. `name` must be in lower case. Throws BadRequest if the field
// occurs twice, as it is not known which of the two values a worker would use.
std::string UniqueHeader(const HttpRequest& request, std::string_view name) {
  const std::string* found = nullptr;
  for (const auto& [header, value] : request.headers) {
    if (LowerCase(header) != name)
      continue;
    if (found != nullptr)
      throw BadRequest(400, std::string(name) + " comes twice");
    found = &value;
  }
  if (found == nullptr)
    return "";
  // The value is forwarded unchanged, so every worker must be able to read it.
  const auto is_plain = [](char character) { return character == ' ' || IsVisible(character); };
  if (found->size() > kMaxFieldBytes || !std::all_of(found->begin(), found->end(), is_plain))
    throw BadRequest(400, std::string(name) + " is too long or not plain text");
  return *found;
}

void CheckTarget(const std::string& target) {
  if (target.empty() || target.front() != '/')
    throw BadRequest(400, "the path must begin with /");
  if (!std::all_of(target.begin(), target.end(), IsVisible))
    throw BadRequest(400, "the path is not plain text");
}

// The job class is Req-Kind, or the first segment of the path if Req-Kind is missing. Throws BadRequest if
// they differ or the class is not configured.
std::string DecodeJobClass(const std::string& kind, std::string_view path,
                           const std::unordered_map<std::string, bool>& classes) {
  const std::string first_segment(path.substr(1, path.find('/', 1) - 1));
  std::string job_class = kind.empty() ? first_segment : kind;
  if (!classes.contains(job_class))
    throw BadRequest(400, "Req-Kind names no class");
  if (first_segment != job_class)
    throw BadRequest(400, "Req-Kind is not the path's first part");
  return job_class;
}

constexpr std::array<std::pair<std::string_view, AttemptLine::State>, 6> kAttemptStates{
    {{"started", AttemptLine::State::kStarted},
     {"running", AttemptLine::State::kRunning},
     {"done", AttemptLine::State::kDone},
     {"failed", AttemptLine::State::kFailed},
     {"returned", AttemptLine::State::kReturned},
     {"lost", AttemptLine::State::kLost}}};

AttemptLine::State DecodeState(const std::string& text) {
  for (const auto& [name, state] : kAttemptStates) {
    if (text == name)
      return state;
  }
  throw BadMessage("state '" + text + "' is unknown");
}

std::uint64_t Hash(std::string_view text) {
  std::uint64_t hash = kFnvOffset;
  for (const char character : text)
    hash = (hash ^ static_cast<unsigned char>(character)) * kFnvPrime;
  return hash;
}

}  // namespace

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  for (char& character : lower) {
    if (character >= 'A' && character <= 'Z')
      character = static_cast<char>(character - 'A' + 'a');
  }
  return lower;
}

void TrimTrailingSpace(std::string* value) { value->erase(value->find_last_not_of(" \t") + 1); }

Job DecodeJob(HttpRequest request, const std::unordered_map<std::string, bool>& requires_idempotency_key) {
  Job job;
  job.id = UniqueHeader(request, "req-id");
  const std::string kind = UniqueHeader(request, "req-kind");
  job.tenant = UniqueHeader(request, "req-owner");
  job.idempotency_key = UniqueHeader(request, "idempotency-key");
  job.content_type = UniqueHeader(request, "content-type");
  job.is_retry = UniqueHeader(request, "req-retry") == "1";
  job.target = std::move(request.target);
  if (job.id.empty())
    throw BadRequest(400, "Req-Id is missing");
  CheckTarget(job.target);
  const std::string path = job.target.substr(0, job.target.find_first_of("?#"));
  job.job_class = DecodeJobClass(kind, path, requires_idempotency_key);
  if (requires_idempotency_key.at(job.job_class) && job.idempotency_key.empty())
    throw BadRequest(400, "Idempotency-Key is missing");
  job.time_left = DecodeDeadline(UniqueHeader(request, "req-deadline"));
  job.subject = DecodeSubject(path, job.job_class);
  DecodeExtras(UniqueHeader(request, "req-extra"), &job);
  // The client's estimate of the work, in microseconds without a unit. A malformed estimate is ignored, as it
  // is no reason to reject the job.
  const auto cost = ParseNumber<std::int64_t>(UniqueHeader(request, "req-cost"));
  if (cost && *cost > 0 && *cost <= kMaxCostMicros)
    job.work = *cost;
  job.body = std::move(request.body);
  return job;
}

LoadReport DecodeLoad(std::string_view text) { return DecodeLoadObject(Json::parse(text, nullptr, false)); }

AttemptLine DecodeAttemptLine(std::string_view text, const std::string& request_id) {
  const Json json = ParseObject(text);
  // The answer to another request must never be forwarded as the answer to this one.
  if (TextOf(json, "id") != request_id)
    throw BadMessage("id differs from the id of the request");
  AttemptLine line;
  line.state = DecodeState(TextOf(json, "state"));
  if (line.state == AttemptLine::State::kRunning)
    line.share = NumberOf(json, "share", 0.0);
  if (line.state == AttemptLine::State::kDone)
    line.result = TextOf(json, "result", "");
  if (const auto load = json.find("load"); load != json.end())
    line.load = DecodeLoadObject(*load);
  return line;
}

Micros DecodeDeadline(std::string_view text) {
  if (text.size() < 2)
    throw BadMessage(kMalformedDeadline);
  const char unit = text.back();
  const auto number = ParseNumber<std::int64_t>(text.substr(0, text.size() - 1));
  if (!number || *number < 0 || *number > kMaxDeadline || (unit != 'm' && unit != 'u'))
    throw BadMessage(kMalformedDeadline);
  return unit == 'm' ? *number * kMillisecond : *number;
}

std::string EncodeDeadline(Micros deadline) { return std::to_string(std::max<Micros>(0, deadline)) + "u"; }

void DecodeExtras(std::string_view text, Job* job) {
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    const std::string_view pair = text.substr(0, comma);
    text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos)
      throw BadMessage("extras must be name=value");
    const std::string_view name = pair.substr(0, equals);
    if (name != "slots" && name != "needs")
      continue;
    const auto slots = ParseNumber<double>(pair.substr(equals + 1));
    if (!slots || !(*slots >= 0.0 && *slots <= kMaxSlots))
      throw BadMessage("slots must be a number");
    job->slots = std::max(1, static_cast<int>(std::ceil(*slots)));
  }
}

std::optional<std::uint64_t> DecodeSubject(std::string_view path, std::string_view job_class) {
  path = path.substr(0, path.find('?'));
  const std::size_t slash = path.rfind('/');
  const std::string_view last = slash == std::string_view::npos ? path : path.substr(slash + 1);
  if (last.empty() || last == job_class)
    return std::nullopt;
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(last.data(), last.data() + last.size(), number, 16);
  if (error == std::errc() && end == last.data() + last.size())
    return number & kSubjectMask;
  return Hash(last) & kSubjectMask;
}

}  // namespace aldersill
