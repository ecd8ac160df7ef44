// Encodes the messages between quota clients and the quota allocator as MessagePack arrays without field
// names, with the kind of the message as the first element.
#ifndef ALDERSILL_SRC_BUDGETS_CODEC_H_
#define ALDERSILL_SRC_BUDGETS_CODEC_H_

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "budgets/types.h"

namespace aldersill::budgets {

using Message = std::variant<QuotaRequest, QuotaGrant>;

std::string Encode(const Message& message);
// Returns nothing unless `bytes` is exactly one valid message.
std::optional<Message> Decode(std::string_view bytes);

}  // namespace aldersill::budgets

#endif  // ALDERSILL_SRC_BUDGETS_CODEC_H_
