#include "budgets/codec.h"

#include "net/message_pack.h"

namespace aldersill::budgets {
namespace {

void Put(MessagePacker& out, const QuotaRequest& request) {
  out.pack_array(7);
  out.pack(0);
  out.pack(request.epoch);
  out.pack(request.number);
  out.pack(request.digest);
  out.pack(request.weight);
  out.pack(request.leaving);
  out.pack_array(static_cast<std::uint32_t>(request.lines.size()));
  for (const QuotaRequestLine& line : request.lines) {
    out.pack_array(4);
    out.pack(line.demand);
    out.pack(line.share);
    out.pack(line.used_above_fallback);
    out.pack(line.window);
  }
}

void Put(MessagePacker& out, const QuotaGrant& grant) {
  out.pack_array(6);
  out.pack(1);
  out.pack(grant.term);
  out.pack(grant.epoch);
  out.pack(grant.number);
  out.pack(grant.duration);
  out.pack_array(static_cast<std::uint32_t>(grant.lines.size()));
  for (const QuotaGrantLine& line : grant.lines) {
    out.pack_array(3);
    out.pack(line.share);
    out.pack(line.window);
    out.pack(line.renewal);
  }
}

// Rejects negative quantities and those above 53 bits: quantities are added up, and the sum must not
// overflow.
Units ReadUnits(MessageFields& in) { return static_cast<Units>(in.TakeUint53()); }

QuotaRequest ReadQuotaRequest(MessageFields& in) {
  QuotaRequest request;
  request.epoch = in.TakeUint53();
  request.number = in.TakeUint53();
  request.digest = in.Take<std::uint64_t>();
  request.weight = in.Take<std::uint32_t>();
  request.leaving = in.Take<bool>();
  request.lines = in.TakeList<QuotaRequestLine>([](MessageFields& item) {
    QuotaRequestLine line;
    line.demand = ReadUnits(item);
    line.share = ReadUnits(item);
    line.used_above_fallback = ReadUnits(item);
    line.window = item.Take<std::uint64_t>();
    return line;
  });
  return request;
}

QuotaGrant ReadQuotaGrant(MessageFields& in) {
  QuotaGrant grant;
  grant.term = in.TakeUint53();
  grant.epoch = in.TakeUint53();
  grant.number = in.TakeUint53();
  grant.duration = ReadUnits(in);
  grant.lines = in.TakeList<QuotaGrantLine>([](MessageFields& item) {
    QuotaGrantLine line;
    line.share = ReadUnits(item);
    line.window = item.Take<std::uint64_t>();
    line.renewal = item.Take<bool>();
    return line;
  });
  return grant;
}

}  // namespace

std::string Encode(const Message& message) {
  return PackMessage([&](MessagePacker& out) { std::visit([&](const auto& m) { Put(out, m); }, message); });
}

std::optional<Message> Decode(std::string_view bytes) {
  return UnpackMessage<Message>(bytes, [](const msgpack::object& object) {
    MessageFields in(object);
    const auto kind = in.Take<std::uint32_t>();
    if (kind > 1)
      throw std::runtime_error("the kind of a budget message must be 0 (request) or 1 (grant)");
    Message message;
    if (kind == 0) {
      message = ReadQuotaRequest(in);
    } else {
      message = ReadQuotaGrant(in);
    }
    in.ExpectEnd();
    return message;
  });
}

}  // namespace aldersill::budgets
