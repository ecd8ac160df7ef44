// What of budgets goes between instances, as bytes: MessagePack arrays without names, a kind first.
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
// Nothing where the bytes are not a message, to the last of them.
std::optional<Message> Decode(std::string_view bytes);

}  // namespace aldersill::budgets

#endif  // ALDERSILL_SRC_BUDGETS_CODEC_H_
