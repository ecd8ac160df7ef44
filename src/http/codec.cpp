#include "http/codec.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>

namespace aldersill {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMostValue = 1'024;          // of a field that is passed on
constexpr std::int64_t kMostCost = 3'600'000'000;  // microseconds: no honest guess says more than an hour

LoadReport LoadOf(const Json& json) {
  LoadReport load;
  if (!json.is_object())
    return load;
  const auto read = [&](std::optional<double>* to, std::initializer_list<const char*> names) {
    for (const char* name : names) {
      const auto found = json.find(name);
      if (found != json.end() && found->is_number())
        *to = found->get<double>();
    }
  };
  // The settings name the fields by the simulator's words, the platform's pages by plainer ones.
  read(&load.in_work, {"inflight", "busy_reqs"});
  read(&load.waiting, {"queue", "pending"});
  read(&load.cpu_share, {"util", "cpu_share"});
  read(&load.service_ms, {"latency_ms", "svc_ms"});
  read(&load.served_per_s, {"qps", "served_ps"});
  read(&load.errors_per_s, {"eps", "failed_ps"});
  read(&load.free_slots, {"x0"});
  return load;
}

template <typename T>
std::optional<T> Figure(std::string_view text) {
  T value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size())
    return std::nullopt;
  return value;
}

// Of the fields that we read, each may come once: which of two would an instance go by?
std::string Header(const HttpRequest& request, const char* wanted) {
  const std::string* found = nullptr;
  for (const auto& [name, value] : request.headers) {
    if (LowerCase(name) != wanted)
      continue;
    if (found != nullptr)
      throw BadRequest(400, std::string(wanted) + " comes twice");
    found = &value;
  }
  if (found == nullptr)
    return "";
  // Passed on as it came: nothing that an instance could not read.
  const auto visible = [](char c) { return c >= ' ' && c <= '~'; };
  if (found->size() > kMostValue || !std::all_of(found->begin(), found->end(), visible))
    throw BadRequest(400, std::string(wanted) + " is too long or not plain text");
  return *found;
}

}  // namespace

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  for (char& c : lower) {
    if (c >= 'A' && c <= 'Z')
      c = static_cast<char>(c - 'A' + 'a');
  }
  return lower;
}

void TrimTrailingSpace(std::string* value) { value->erase(value->find_last_not_of(" \t") + 1); }

Job DecodeJob(HttpRequest request, const std::unordered_map<std::string, bool>& keyed) {
  Job job;
  job.id = Header(request, "req-id");
  job.job_class = Header(request, "req-kind");
  job.tenant = Header(request, "req-owner");
  job.idempotency_key = Header(request, "idempotency-key");
  job.content_type = Header(request, "content-type");
  job.is_retry = Header(request, "req-retry") == "1";
  job.target = std::move(request.target);
  if (job.id.empty())
    throw BadRequest(400, "Req-Id is missing");
  if (job.target.empty() || job.target.front() != '/')
    throw BadRequest(400, "the path must begin with /");
  if (!std::all_of(job.target.begin(), job.target.end(), [](char c) { return c > ' ' && c <= '~'; }))
    throw BadRequest(400, "the path is not plain text");
  const std::string path = job.target.substr(0, job.target.find_first_of("?#"));
  const std::string first = path.substr(1, path.find('/', 1) - 1);
  if (job.job_class.empty())
    job.job_class = first;
  const auto job_class = keyed.find(job.job_class);
  if (job_class == keyed.end())
    throw BadRequest(400, "Req-Kind names no class");
  if (first != job.job_class)
    throw BadRequest(400, "Req-Kind is not the path's first part");
  if (job_class->second && job.idempotency_key.empty())
    throw BadRequest(400, "Idempotency-Key is missing");
  job.time_left = DecodeDeadline(Header(request, "req-deadline"));
  job.subject = DecodeSubject(path, job.job_class);
  DecodeExtras(Header(request, "req-extra"), &job);
  // A guess at the work, as bare microseconds: of use where it can be read, no reason to turn a job away.
  if (const auto cost = Figure<std::int64_t>(Header(request, "req-cost"));
      cost && *cost > 0 && *cost <= kMostCost)
    job.work = *cost;
  job.body = std::move(request.body);
  return job;
}

LoadReport DecodeLoad(std::string_view text) { return LoadOf(Json::parse(text, nullptr, false)); }

AttemptLine DecodeAttemptLine(std::string_view text, const std::string& request_id) {
  using State = AttemptLine::State;
  const Json json = ParseObject(text);
  // An answer to something else must never be passed on as the answer to this.
  if (TextOf(json, "id") != request_id)
    throw BadMessage("id is not the request's");
  AttemptLine line;
  const std::string state = TextOf(json, "state");
  if (state == "started") {
    line.state = State::kStarted;
  } else if (state == "running") {
    line.state = State::kRunning;
    line.share = NumberOf(json, "share", 0.0);
  } else if (state == "done") {
    line.state = State::kDone;
    line.result = TextOf(json, "result", "");
  } else if (state == "failed") {
    line.state = State::kFailed;
  } else if (state == "returned") {
    line.state = State::kReturned;
  } else if (state == "lost") {
    line.state = State::kLost;
  } else {
    throw BadMessage("state '" + state + "' is unknown");
  }
  if (const auto load = json.find("load"); load != json.end())
    line.load = LoadOf(*load);
  return line;
}

Micros DecodeDeadline(std::string_view text) {
  if (text.size() < 2)
    throw BadMessage("deadline must be a number and a unit");
  const char unit = text.back();
  const auto figure = Figure<std::int64_t>(text.substr(0, text.size() - 1));
  if (!figure || *figure < 0 || *figure > 1'000'000'000'000 || (unit != 'm' && unit != 'u'))
    throw BadMessage("deadline must be a number and a unit");
  return unit == 'm' ? *figure * kMillisecond : *figure;
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
    const auto slots = Figure<double>(pair.substr(equals + 1));
    if (!slots || !(*slots >= 0.0 && *slots <= 1e6))
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
  constexpr std::uint64_t kBelow = (1ULL << 53) - 1;
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(last.data(), last.data() + last.size(), number, 16);
  if (error == std::errc() && end == last.data() + last.size())
    return number & kBelow;
  number = 0xcbf29ce484222325ULL;
  for (const char c : last)
    number = (number ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  return number & kBelow;
}

}  // namespace aldersill
