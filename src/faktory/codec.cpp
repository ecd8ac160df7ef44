#include "faktory/codec.h"

#include <sodium.h>

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

namespace aldersill::faktory {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxIdBytes = 256;

bool IsUtf8(std::string_view text) {
  try {
    static_cast<void>(Json(text).dump());
    return true;
  } catch (const Json::type_error&) {
    return false;
  }
}

Json Parse(std::string_view text) {
  Json json = Json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!json.is_discarded())
    return json;
  throw BadCommand(IsUtf8(text) ? "not JSON" : "not UTF-8: send text as UTF-8, and other bytes in base64");
}

// Bytes in base64 with padding (RFC 4648, section 4).
std::string ToBase64(const std::string& bytes) {
  std::string text(sodium_base64_ENCODED_LEN(bytes.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
  sodium_bin2base64(text.data(), text.size(), reinterpret_cast<const unsigned char*>(bytes.data()),
                    bytes.size(), sodium_base64_VARIANT_ORIGINAL);
  text.pop_back();  // the terminating zero
  return text;
}

// A pushed job as JSON. It is always an object, and its `custom` is one if it is present.
class PushedDocument {
 public:
  // Returns nothing unless the body is such a document.
  static std::optional<PushedDocument> FromBody(std::string_view body) {
    Json json = Json::parse(body, nullptr, /*allow_exceptions=*/false);
    if (!json.is_object() || !(json.value("custom", Json()).is_null() || json["custom"].is_object()))
      return std::nullopt;
    return PushedDocument(std::move(json));
  }

  const Json& json() const { return json_; }

 private:
  explicit PushedDocument(Json json) : json_(std::move(json)) {}

  Json json_;
};

// A job that was not pushed, as its one argument: the body, which is encoded unless it is UTF-8.
Json DocumentOfBody(const Job& job) {
  const bool is_text = IsUtf8(job.body);
  Json json = {{"jid", job.id}, {"jobtype", job.job_class}, {"custom", Json::object()}};
  json["args"] = Json::array({is_text ? job.body : ToBase64(job.body)});
  Json& custom = json["custom"];
  if (!is_text)
    custom["args_encoding"] = "base64";
  custom["target"] = job.target;
  if (!job.tenant.empty())
    custom["tenant"] = job.tenant;
  if (!job.idempotency_key.empty())
    custom["idempotency_key"] = job.idempotency_key;
  return json;
}

Json DocumentOf(const Job& job) {
  if (job.has_idempotent_id) {
    if (const std::optional<PushedDocument> pushed = PushedDocument::FromBody(job.body))
      return pushed->json();
  }
  return DocumentOfBody(job);
}

// Returns a string member; empty if it is absent and not required.
std::string ReadText(const Json& json, const char* name, bool required) {
  const auto found = json.find(name);
  if (found == json.end() || found->is_null()) {
    if (required)
      throw BadCommand(std::string(name) + " is missing");
    return "";
  }
  if (!found->is_string())
    throw BadCommand(std::string(name) + " must be a string");
  std::string text = found->get<std::string>();
  if (required && text.empty())
    throw BadCommand(std::string(name) + " must not be empty");
  return text;
}

bool IsControl(unsigned char character) { return character < ' ' || character == 127; }

std::string ReadId(const Json& json, const char* name) {
  std::string id = ReadText(json, name, true);
  if (id.size() > kMaxIdBytes)
    throw BadCommand(std::string(name) + " is too long");
  // The id is also written into headers and log lines.
  if (std::any_of(id.begin(), id.end(), [](unsigned char c) { return c == ' ' || IsControl(c); }))
    throw BadCommand(std::string(name) + " must hold no blanks or controls");
  return id;
}

Job DecodeJob(const Json& json, const ClassDeadlines& classes) {
  if (!json.is_object())
    throw BadCommand("a job must be an object");
  Job job;
  job.id = ReadId(json, "jid");
  job.job_class = ReadText(json, "jobtype", true);
  const auto job_class = classes.find(job.job_class);
  if (job_class == classes.end())
    throw BadCommand("jobtype '" + job.job_class + "' is no class");
  const auto args = json.find("args");
  if (args == json.end() || !args->is_array())
    throw BadCommand("args must be a list");
  job.time_left = job_class->second;
  if (const auto custom = json.find("custom"); custom != json.end() && !custom->is_null()) {
    if (!custom->is_object())
      throw BadCommand("custom must be an object");
    job.tenant = ReadText(*custom, "tenant", false);
    // The tenant is also written into a header.
    if (std::any_of(job.tenant.begin(), job.tenant.end(), IsControl))
      throw BadCommand("custom.tenant must hold no controls");
    if (const auto deadline = custom->find("deadline_ms"); deadline != custom->end()) {
      if (!deadline->is_number())
        throw BadCommand("custom.deadline_ms must be a number");
      const double ms = deadline->get<double>();
      if (!(ms > 0.0))
        throw BadCommand("custom.deadline_ms must be positive");
      job.time_left = std::min(job.time_left, static_cast<Micros>(std::min(ms, 1e9) * 1e3));
    }
    if (const auto slots = custom->find("slots"); slots != custom->end()) {
      if (!slots->is_number_integer() || slots->get<std::int64_t>() < 1 ||
          slots->get<std::int64_t>() > 1'000'000)
        throw BadCommand("custom.slots must be a positive whole number");
      job.slots = static_cast<int>(slots->get<std::int64_t>());
    }
  }
  job.has_idempotent_id = true;  // A client keeps the jid when it retries.
  job.idempotency_key = job.id;
  job.target = "/" + job.job_class;
  job.content_type = "application/json";
  job.body = json.dump();
  return job;
}

}  // namespace

Hello DecodeHello(std::string_view text) {
  const Json json = Parse(text);
  if (!json.is_object())
    throw BadCommand("HELLO takes an object");
  Hello hello;
  if (const auto version = json.find("v"); version != json.end()) {
    if (!version->is_number_integer())
      throw BadCommand("v must be a whole number");
    hello.version = version->get<int>();
  }
  if (json.contains("wid") && json["wid"] != "" && !json["wid"].is_null())
    hello.wid = ReadId(json, "wid");
  if (const auto labels = json.find("labels"); labels != json.end() && labels->is_array()) {
    for (const Json& label : *labels) {
      if (!label.is_string())
        continue;
      const std::string label_text = label.get<std::string>();
      if (label_text.starts_with("zone:"))
        hello.zone = label_text.substr(5);
      if (label_text.starts_with("kind:"))
        hello.kind = label_text.substr(5);
    }
  }
  return hello;
}

Job DecodePush(std::string_view json, const ClassDeadlines& classes) {
  return DecodeJob(Parse(json), classes);
}

std::vector<BulkPushItem> DecodePushBulk(std::string_view text, const ClassDeadlines& classes) {
  const Json json = Parse(text);
  if (!json.is_array())
    throw BadCommand("PUSHB takes a list");
  std::vector<BulkPushItem> pushed_items;
  for (const Json& item : json) {
    BulkPushItem& pushed = pushed_items.emplace_back();
    if (item.is_object() && item.contains("jid") && item["jid"].is_string())
      pushed.jid = item["jid"];
    // The reply names each rejected job by its jid, so it cannot report one without a jid.
    if (pushed.jid.empty())
      throw BadCommand("jid is missing");
    try {
      pushed.job = DecodeJob(item, classes);
    } catch (const BadCommand& error) {
      pushed.error = error.what();
    }
  }
  return pushed_items;
}

std::string EncodePushBulkReply(const std::vector<std::pair<std::string, std::string>>& errors) {
  Json json = Json::object();
  for (const auto& [jid, error] : errors)
    json[jid] = error;
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string EncodeFetched(const Job& job, Micros time_left) {
  const int reserve_for = static_cast<int>((time_left + kSecond - 1) / kSecond);
  Json json = DocumentOf(job);
  json["queue"] = "default";
  json["reserve_for"] = reserve_for;
  json["custom"]["deadline_ms"] = time_left / kMillisecond;
  return json.dump();
}

Ack DecodeAck(std::string_view text) {
  const Json json = Parse(text);
  if (!json.is_object())
    throw BadCommand("ACK and FAIL take an object");
  Ack ack;
  ack.jid = ReadId(json, "jid");
  if (const auto result = json.find("result"); result != json.end() && !result->is_null())
    ack.result = result->is_string() ? result->get<std::string>()
                                     : result->dump(-1, ' ', false, Json::error_handler_t::replace);
  return ack;
}

Beat DecodeBeat(std::string_view text) {
  const Json json = Parse(text);
  if (!json.is_object())
    throw BadCommand("BEAT takes an object");
  const std::string state = ReadText(json, "current_state", false);
  if (!state.empty() && state != "quiet" && state != "terminate")
    throw BadCommand("current_state must be quiet or terminate");
  return {ReadId(json, "wid"), state};
}

std::string EncodeInfo(const ServerInfo& info) {
  const Json json = {
      {"server",
       {{"description", "aldersill"}, {"connections", info.connections}, {"uptime", info.uptime / kSecond}}},
      {"faktory",
       {{"total_enqueued", 0},  // The dispatcher stores no jobs.
        {"total_queues", 0},
        {"queues", Json::object()},
        {"total_pushed", info.pushed},
        {"total_processed", info.done},
        {"total_failures", info.failed},
        {"workers", info.workers}}}};
  return json.dump();
}

}  // namespace aldersill::faktory
