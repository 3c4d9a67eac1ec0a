#ifndef IBISHOLD_RING_H_
#define IBISHOLD_RING_H_

// Passes items from one thread to another.
//
// Index of this header:
//   1. RingOptions   capacity
//   2. Ring          bounded queue with one producer and one consumer

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/post.hpp>
#include <boost/lockfree/spsc_queue.hpp>
#include <cstddef>
#include <functional>
#include <utility>

namespace ibishold {

// ---- 1. RingOptions -----------------------------------------------------------------------------

struct RingOptions {
  std::size_t capacity = 4096;  // items
};

// ---- 2. Ring ------------------------------------------------------------------------------------

// One thread pushes items; the handler receives them in order on the consumer's executor. The ring
// must outlive both threads.
template <typename T>
class Ring {
 public:
  using Handler = std::function<void(T)>;

  Ring(boost::asio::any_io_executor consumer, Handler handler, RingOptions options = {})
      : executor(std::move(consumer)), handler(std::move(handler)), queue(options.capacity) {}

  Ring(const Ring&) = delete;
  Ring& operator=(const Ring&) = delete;

  // Returns false and leaves the item unchanged if the ring is full; the caller must then refuse
  // the work. Must be called from one thread only.
  bool Push(T&& item) {
    if (!this->queue.push(std::move(item))) {
      this->rejected_pushes.fetch_add(1, std::memory_order_relaxed);
      return false;
    }
    if (!this->drain_scheduled.exchange(true, std::memory_order_acq_rel)) {
      boost::asio::post(this->executor, [this] { this->Drain(); });
    }
    return true;
  }

  std::uint64_t rejected_count() const {
    return this->rejected_pushes.load(std::memory_order_relaxed);
  }

 private:
  void Drain() {
    // This must be a read-modify-write operation. Then either Drain sees the item of a concurrent
    // Push that read `true`, or that Push reads `false` and posts Drain again. With a plain store
    // the processor may read the queue's index before the store is visible, and the item would stay
    // in the queue until the next Push.
    this->drain_scheduled.exchange(false, std::memory_order_acq_rel);
    // Handles only the items present at the start, so that a fast producer cannot block the
    // consumer's other handlers.
    T item;
    for (std::size_t remaining = this->queue.read_available();
         remaining > 0 && this->queue.pop(item); --remaining) {
      this->handler(std::move(item));
    }
    if (this->queue.read_available() > 0 &&
        !this->drain_scheduled.exchange(true, std::memory_order_acq_rel)) {
      boost::asio::post(this->executor, [this] { this->Drain(); });
    }
  }

  boost::asio::any_io_executor executor;
  Handler handler;
  boost::lockfree::spsc_queue<T> queue;
  std::atomic<bool> drain_scheduled{false};
  std::atomic<std::uint64_t> rejected_pushes{0};
};

}  // namespace ibishold

#endif  // IBISHOLD_RING_H_
