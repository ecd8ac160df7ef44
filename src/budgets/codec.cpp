#include "budgets/codec.h"

#include "net/message_pack.h"

namespace aldersill::budgets {
namespace {

void Put(MessagePacker& out, const QuotaRequest& m) {
  out.pack_array(7);
  out.pack(0), out.pack(m.epoch), out.pack(m.number), out.pack(m.digest), out.pack(m.weight),
      out.pack(m.leaving);
  out.pack_array(static_cast<std::uint32_t>(m.lines.size()));
  for (const QuotaRequestLine& line : m.lines) {
    out.pack_array(4);
    out.pack(line.demand), out.pack(line.share), out.pack(line.beyond), out.pack(line.window);
  }
}

void Put(MessagePacker& out, const QuotaGrant& m) {
  out.pack_array(6);
  out.pack(1), out.pack(m.term), out.pack(m.epoch), out.pack(m.number), out.pack(m.lasts);
  out.pack_array(static_cast<std::uint32_t>(m.lines.size()));
  for (const QuotaGrantLine& line : m.lines) {
    out.pack_array(3);
    out.pack(line.share), out.pack(line.window), out.pack(line.renewal);
  }
}

// Shares are summed up: none may be negative, or so great that a few of them overflow.
Units TakeUnits(MessageFields& in) { return static_cast<Units>(in.Number53()); }

QuotaRequest TakeAsk(MessageFields& in) {
  QuotaRequest m;
  m.epoch = in.Number53(), m.number = in.Number53(), m.digest = in.Take<std::uint64_t>();
  m.weight = in.Take<std::uint32_t>(), m.leaving = in.Take<bool>();
  m.lines = in.List<QuotaRequestLine>([](MessageFields& item) {
    QuotaRequestLine line;
    line.demand = TakeUnits(item), line.share = TakeUnits(item), line.beyond = TakeUnits(item);
    line.window = item.Take<std::uint64_t>();
    return line;
  });
  return m;
}

QuotaGrant TakeAnswer(MessageFields& in) {
  QuotaGrant m;
  m.term = in.Number53(), m.epoch = in.Number53(), m.number = in.Number53();
  m.lasts = TakeUnits(in);
  m.lines = in.List<QuotaGrantLine>([](MessageFields& item) {
    QuotaGrantLine line;
    line.share = TakeUnits(item), line.window = item.Take<std::uint64_t>(), line.renewal = item.Take<bool>();
    return line;
  });
  return m;
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
      throw std::runtime_error("not a kind");
    Message message;
    if (kind == 0) {
      message = TakeAsk(in);
    } else {
      message = TakeAnswer(in);
    }
    in.End();
    return message;
  });
}

}  // namespace aldersill::budgets
