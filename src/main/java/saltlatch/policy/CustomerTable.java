package saltlatch.policy;

import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Holds the customers that this node knows, in a bounded number. When the table is full, a new
 * customer takes the place of one that was not seen for long and whose state may be released: the
 * counter still has that customer's usage. If no such customer is found, the new one is not added.
 *
 * <p>Guards against clients that send ever new customers: their state would fill the memory, and
 * each housekeeping run, which visits all customers, would take ever longer. Does harm to a usual
 * customer that is released: its learned reservations begin anew.
 */
final class CustomerTable {
  /** More than a node serves within the time after which idle customers are released. */
  static final int MAX_CUSTOMERS = 8_192;
  /** How many customers are compared to find one that was not seen for long. */
  private static final int CANDIDATES = 16;

  private final SlotMap<CustomerQuota> customers = new SlotMap<>();
  private final Predicate<CustomerQuota> mayRelease;
  private final Consumer<CustomerQuota> onReleased;
  private int nextSlot;

  /**
   * Creates an empty table.
   *
   * @param mayRelease whether nothing depends on the customer's state
   * @param onReleased receives a customer that made room for a new one
   */
  CustomerTable(Predicate<CustomerQuota> mayRelease, Consumer<CustomerQuota> onReleased) {
    this.mayRelease = mayRelease;
    this.onReleased = onReleased;
  }

  /** Returns the customer, or null if the table does not contain it. */
  CustomerQuota find(long id) {
    return customers.find(id);
  }

  /** Adds a customer that the table does not contain, if there is room for it. */
  void add(CustomerQuota customer) {
    if (customers.size() < MAX_CUSTOMERS || releaseOne()) {
      customers.put(customer.id, customer);
    }
  }

  /** Returns whether the table contains this customer. */
  boolean contains(CustomerQuota customer) {
    return customers.find(customer.id) == customer;
  }

  void forEach(Consumer<CustomerQuota> action) {
    customers.forEach(action);
  }

  void release(CustomerQuota customer) {
    customers.release(customer.id);
  }

  /** Releases the longest unseen of a few customers; returns false if none may be released. */
  private boolean releaseOne() {
    CustomerQuota oldest = null;
    for (int i = 0; i < CANDIDATES; i++) {
      CustomerQuota candidate = customers.at(nextSlot);
      nextSlot = (nextSlot + 1) % customers.slotCount();
      boolean isOlder = candidate != null
          && (oldest == null || candidate.lastRequestAtTicks < oldest.lastRequestAtTicks);
      if (isOlder && mayRelease.test(candidate)) {
        oldest = candidate;
      }
    }
    if (oldest == null) {
      return false;
    }
    release(oldest);
    onReleased.accept(oldest);
    return true;
  }
}
