// Tests of what the backend sends when a connection to a converter opens.
#include "platform/converter_backend.hpp"

#include "loop_fixture.hpp"

namespace heathturn::test {
namespace {

using namespace maddershed;

constexpr std::size_t max_unsent_bytes = 2 * max_line_bytes;  // the smallest limit of a configuration
constexpr ExchangeId converter_id{1};

/// A backend with one converter, which the test acts as. Each request is sent to it.
struct ConverterBackendFixture : LoopFixture, Frontend {
  PlatformConfig config;
  Router router{clock, timers, 0, [this](Time, const Event& event, std::vector<Action>& actions) {
                  if (const auto* offered = std::get_if<CallOffered>(&event))
                    actions.push_back(SendSetUp{offered->call, converter_id, to_time(clock.now_ms() + 5000)});
                  if (const auto* ended = std::get_if<AttemptEnded>(&event)) results.push_back(ended->result);
                }};
  ConverterBackend backend{clock, timers, net, router, config};
  Socket listener = Socket::bound(SOCK_STREAM);
  std::vector<AttemptResult> results;  ///< of the attempts that ended

  explicit ConverterBackendFixture(const Connections::OutputLimits& limits) {
    net.set_output_limits(limits);
    router.set_backend(backend);
    Converter converter;
    converter.entry = {.exchange = converter_id, .number = 1};
    converter.address = listener.address();
    backend.update_list({converter}, true);
  }
  /// Offers a request whose description has this size.
  void offer(const std::string& call_id, std::size_t description_bytes) {
    Request request;
    request.wire_id = call_id;
    request.class_name = "voice";
    request.key = "1";
    request.body = std::string(description_bytes, 'm');
    request.time_left_ms = 6000;
    router.offer(*this, request, [](Handle) {});
  }
  /// Accepts the first connection, and reads `count` lines on it.
  std::vector<Message> read_messages(std::size_t count) {
    run_until([&] { return readable(listener.descriptor(), 0); });
    const auto connection = listener.accept();
    std::string input;
    run_until([&] {
      input += read_available(connection);
      return static_cast<std::size_t>(std::count(input.begin(), input.end(), '\n')) >= count ||
             !end_reasons.empty();
    });
    std::vector<Message> messages;
    for (std::size_t end = 0; (end = input.find('\n')) != std::string::npos; input.erase(0, end + 1))
      messages.push_back(parse_message(input.substr(0, end)));
    return messages;
  }
  bool on_request_served(Handle, const std::string&) override { return true; }
  void on_request_refused(Handle, double) override {}
  void on_request_failed(Handle) override {}
  void on_call_ended(Handle, CallEnd) override {}
};

constexpr Connections::OutputLimits platform_limits = {.per_connection = max_unsent_bytes,
                                                       .total = 512 * max_unsent_bytes};

// Guards against ending each new connection to a converter because of what waits for it.
TEST_CASE("releases queued while a converter is unreachable all reach it on its next connection") {
  ConverterBackendFixture fixture(platform_limits);
  constexpr std::size_t queued_releases = 2000;
  for (std::size_t i = 0; i < queued_releases; ++i)
    fixture.backend.release_at_all_converters("000000000000" + std::to_string(1000 + i));
  CHECK(fixture.read_messages(queued_releases).size() == queued_releases);
  CHECK(fixture.end_reasons.empty());
}

TEST_CASE("set-ups that wait for a connection are all sent on it, however long their descriptions are") {
  ConverterBackendFixture fixture(platform_limits);
  constexpr std::size_t waiting_set_ups = 40;
  for (std::size_t i = 0; i < waiting_set_ups; ++i)
    fixture.offer("000000000000" + std::to_string(1000 + i), 15000);
  CHECK(fixture.read_messages(waiting_set_ups).size() == waiting_set_ups);
  CHECK(fixture.end_reasons.empty());
  CHECK(fixture.results.empty());
}

// Guards against taking a set-up that was never written for one that the converter may have.
TEST_CASE("set-ups that a write did not take count as never sent, and those before it as reset") {
  constexpr std::size_t set_up_bytes = 15000, written_set_ups = 4, waiting_set_ups = 10;
  // Room for four set-ups with their other fields, not for five.
  ConverterBackendFixture fixture(
      {.per_connection = max_unsent_bytes, .total = (written_set_ups + 1) * set_up_bytes});
  for (std::size_t i = 0; i < waiting_set_ups; ++i)
    fixture.offer("000000000000" + std::to_string(1000 + i), set_up_bytes);
  fixture.run_until([&] { return fixture.results.size() >= waiting_set_ups; });
  CHECK(fixture.end_reasons == std::vector<std::string>{"slow_reader"});
  const auto count = [&](AttemptResult result) {
    return std::count(fixture.results.begin(), fixture.results.end(), result);
  };
  CHECK(count(AttemptResult::reset) == written_set_ups);
  CHECK(count(AttemptResult::connect_failed) == waiting_set_ups - written_set_ups);
}

}  // namespace
}  // namespace heathturn::test
