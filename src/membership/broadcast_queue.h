// SWIM's dissemination buffer (Das, Gupta, Motivala 2002, section 4.1): a bounded queue of items to piggyback
// on packets. Each item is transmitted a limited number of times; the least transmitted items go first, and
// among these the newest.
#ifndef ALDERSILL_SRC_MEMBERSHIP_BROADCAST_QUEUE_H_
#define ALDERSILL_SRC_MEMBERSHIP_BROADCAST_QUEUE_H_

#include <compare>
#include <cstdint>
#include <iterator>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace aldersill::membership {

// Holds at most one item for each key.
template <typename T>
class BroadcastQueue {
 public:
  explicit BroadcastQueue(std::size_t max_items) : max_items_(max_items) {}

  // Adds an item in place of an earlier one with the same key. If the queue then exceeds its limit, it drops
  // the most transmitted item. `size` is the number of bytes that the item takes in a packet.
  void Put(const std::string& key, T value, std::size_t size) {
    Remove(key);
    const Rank rank{.transmissions = 0, .age = -static_cast<std::int64_t>(++puts_), .key = key};
    items_.emplace(key, Item{std::move(value), size, rank});
    order_.insert(rank);
    if (items_.size() <= max_items_)
      return;
    const std::string last = std::prev(order_.end())->key;
    Remove(last);
    ++dropped_;
  }

  void Remove(const std::string& key) {
    const auto found = items_.find(key);
    if (found == items_.end())
      return;
    order_.erase(found->second.rank);
    items_.erase(found);
  }

  // Appends items to `taken`, in the order of the queue, until the next one does not fit into `bytes`.
  // Returns the number of bytes left. An item leaves the queue once it was taken `max_transmissions` times.
  std::size_t Take(std::size_t bytes, int max_transmissions, std::vector<T>* taken) {
    std::vector<std::string> keys;
    for (const Rank& rank : order_) {
      const Item& item = items_.at(rank.key);
      if (item.size > bytes)
        break;
      bytes -= item.size;
      taken->push_back(item.value);
      keys.push_back(rank.key);
    }
    for (const std::string& key : keys)
      CountTransmission(key, max_transmissions);
    return bytes;
  }

  std::size_t size() const { return items_.size(); }
  bool empty() const { return items_.empty(); }
  // Number of items dropped because of the limit.
  std::uint64_t dropped() const { return dropped_; }

 private:
  // The sort key of the queue's order.
  struct Rank {
    int transmissions = 0;
    std::int64_t age = 0;  // the newest item has the smallest value
    std::string key;
    auto operator<=>(const Rank&) const = default;
  };
  struct Item {
    T value;
    std::size_t size;  // bytes in a packet
    Rank rank;
  };

  void CountTransmission(const std::string& key, int max_transmissions) {
    Item& item = items_.at(key);
    order_.erase(item.rank);
    if (++item.rank.transmissions >= max_transmissions) {
      items_.erase(key);
    } else {
      order_.insert(item.rank);
    }
  }

  std::size_t max_items_;
  std::uint64_t puts_ = 0;
  std::uint64_t dropped_ = 0;
  std::map<std::string, Item> items_;
  std::set<Rank> order_;
};

}  // namespace aldersill::membership

#endif  // ALDERSILL_SRC_MEMBERSHIP_BROADCAST_QUEUE_H_
