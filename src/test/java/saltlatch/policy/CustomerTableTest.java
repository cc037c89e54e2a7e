package saltlatch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against picture (a) of issue 62: ever new customers fill the memory. */
class CustomerTableTest {
  private final List<CustomerQuota> released = new ArrayList<>();
  private final CustomerTable table = new CustomerTable(customer -> customer.openRequests == 0,
      released::add);

  private CustomerQuota add(long id, int openRequests) {
    CustomerQuota customer = new CustomerQuota(id, null, 0);
    customer.openRequests = openRequests;
    customer.lastRequestAtTicks = id;
    table.add(customer);
    return customer;
  }

  @Test
  void aNewCustomerTakesThePlaceOfOneThatWasNotSeenForLong() {
    for (int id = 0; id < CustomerTable.MAX_CUSTOMERS; id++) add(id, 0);
    assertEquals(List.of(), released);
    for (int i = 0; i < 100; i++) {
      CustomerQuota added = add(CustomerTable.MAX_CUSTOMERS + i, 0);
      assertTrue(table.contains(added));
    }
    assertEquals(100, released.size());
    assertTrue(released.stream().allMatch(customer -> customer.id < 16 * 100));
  }

  @Test
  void aCustomerOnWhichSomethingDependsStays() {
    for (int id = 0; id < CustomerTable.MAX_CUSTOMERS; id++) add(id, 1);
    assertFalse(table.contains(add(CustomerTable.MAX_CUSTOMERS, 0)));
    assertEquals(List.of(), released);
  }
}
