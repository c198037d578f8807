// Tests of the wire format of the simulator: decoding, encoding, and which frames are rejected as malformed.
#include "codec.hpp"

#include <gtest/gtest.h>

#include <array>
#include <string_view>

#include "frames.hpp"
#include "host.hpp"

namespace maddershed::drill {
namespace {

using test::bytes_from_hex;

std::vector<InstanceEvent> decode(BatchDecoder& decoder, std::uint32_t records,
                                  const std::vector<std::uint8_t>& body) {
  BatchHeader header;
  header.body_bytes = static_cast<std::uint32_t>(body.size());
  header.record_count = records;
  return decoder.decode(header, body);
}

TEST(Codec, DecodesTheHeader) {
  const auto raw = bytes_from_hex("48000000 5a5c800000000000 05000000");
  const auto header =
      decode_header(std::span<const std::uint8_t, batch_header_bytes>(raw.data(), batch_header_bytes));
  EXPECT_EQ(header.body_bytes, 72U);
  EXPECT_EQ(header.now.since_epoch.count(), 0x805c5a);
  EXPECT_EQ(header.record_count, 5U);
}

TEST(Codec, DecodesOfferedCallTimerAndCallerLeft) {
  BatchDecoder decoder;
  const auto events =
      decode(decoder, 5,
             bytes_from_hex("78 03000000"
                            "1e c4913a5d17830b00 01 0000 00009644 80a90300 00000000 00006442 e02e0000"
                            "640ad2557c3bf091 00008043"
                            "46 4d00000000000000"
                            "78 05000000"
                            "3c 192b6f0e77d30300"));
  ASSERT_EQ(events.size(), 3U);
  EXPECT_EQ(events[0].instance, 3U);
  const auto& call = std::get<CallOffered>(events[0].event);
  EXPECT_EQ(call.call.value, 0x000b83175d3a91c4U);
  EXPECT_EQ(call.circuits, 1200.0);
  EXPECT_EQ(call.time_left, Duration{240000});
  EXPECT_EQ(call.destination, 57);
  EXPECT_EQ(call.tandem, 256);
  EXPECT_FALSE(call.in_transit);
  EXPECT_EQ(std::get<TimerDue>(events[1].event).token, 77U);
  EXPECT_EQ(events[2].instance, 5U);
  EXPECT_EQ(std::get<CallerLeft>(events[2].event).call.value, 0x0003d3770e6f2b19U);
}

TEST(Codec, DirectoryUpdateUsesTheLatestListOfItsNumber) {
  BatchDecoder decoder;
  const std::string first_list = "6e 00000000 01000000 074a1203 00 00 0000 01 0000803f 0000000000000000";
  const std::string second_list = "6e 00000000 01000000 f211902c 01 00 0100 02 0000c03f 20145d0000000000";
  const std::string update = "14 02 29000000 00000000";
  const auto events =
      decode(decoder, 5, bytes_from_hex("78 03000000" + first_list + update + second_list + update));
  ASSERT_EQ(events.size(), 2U);
  const auto& first_update = std::get<DirectoryUpdate>(events[0].event);
  const auto& second_update = std::get<DirectoryUpdate>(events[1].event);
  EXPECT_EQ(first_update.kind, DirectoryUpdate::Kind::cached);
  ASSERT_EQ(first_update.entries.size(), 1U);
  EXPECT_EQ(first_update.entries[0].exchange.value, 0x03124a07U);
  EXPECT_FALSE(first_update.entries[0].started_at);
  ASSERT_EQ(second_update.entries.size(), 1U);
  EXPECT_EQ(second_update.entries[0].state, ExchangeState::draining);
  EXPECT_EQ(second_update.entries[0].started_at, Time{Duration{0x5d1420}});
}

TEST(Codec, DecodesTheEndOfAnAttempt) {
  BatchDecoder decoder;
  const auto events =
      decode(decoder, 2,
             bytes_from_hex("78 03000000 32 c4913a5d17830b00 0000 074a1203 1e 44480000 00 12000000"
                            "04 cdcccc3e0000a03f52b81e3f00004040"));
  const auto& end = std::get<AttemptEndedRaw>(events.at(0).event);
  EXPECT_EQ(end.event.result, AttemptResult::not_set_up);
  EXPECT_EQ(end.event.cause, FailureCause::destination_processor_full);
  EXPECT_EQ(end.event.elapsed, Duration{18500});
  EXPECT_FALSE(end.event.call_finished);
  const auto report =
      to_load_report({"spare", "new_thing", "utilization", "backlog", "beyond"}, end.column_values);
  EXPECT_FLOAT_EQ(static_cast<float>(*report.free_circuits), 0.4F);
  EXPECT_FLOAT_EQ(static_cast<float>(*report.utilisation), 0.62F);
  EXPECT_EQ(report.queued_set_ups, 3.0);
  EXPECT_FALSE(report.total_circuits);
}

TEST(Codec, EncodesTheReplyOfTwoInstances) {
  ReplyEncoder encoder;
  encoder.add(3, SendSetUp{CallId{0x000b83175d3a91c4}, ExchangeId{0x03124a07}, Time{Duration{0x8194da}}});
  encoder.add(3, SetTimer{Time{Duration{0x87fd7a}}, 77});
  encoder.add(5, LogLine{"two servers known"});
  EXPECT_EQ(encoder.take_frame(), bytes_from_hex("05000000 44000000"
                                                 "82 03000000"
                                                 "0a c4913a5d17830b00 da94810000000000 074a1203"
                                                 "32 7afd870000000000 4d00000000000000"
                                                 "82 05000000"
                                                 "5a 1100 74776f2073657276657273206b6e6f776e"));
  EXPECT_EQ(encoder.take_frame(), bytes_from_hex("00000000 00000000"));
}

TEST(Codec, RejectsMalformedFrames) {
  BatchDecoder decoder;
  EXPECT_THROW((void)decode(decoder, 2, bytes_from_hex("78 03000000 46 4d000000")), WireError);  // truncated
  EXPECT_THROW((void)decode(decoder, 1, bytes_from_hex("78 03000000 46")), WireError);       // unread bytes
  EXPECT_THROW((void)decode(decoder, 2, bytes_from_hex("78 03000000 c8")), WireError);       // unknown code
  EXPECT_THROW((void)decode(decoder, 1, bytes_from_hex("46 4d00000000000000")), WireError);  // no instance
  EXPECT_THROW((void)decode(decoder, 1, bytes_from_hex("6e 00000000 ffffffff 074a1203")),
               WireError);                                                                    // huge count
  EXPECT_THROW((void)decode(decoder, 1, bytes_from_hex("6e 10000000 00000000")), WireError);  // list number
}

/// The records of a reply, without its header.
std::vector<std::uint8_t> body_of(const std::vector<std::uint8_t>& reply) {
  return {reply.begin() + 8, reply.end()};
}

TEST(InstanceHost, InstancesActTheSameInOneHostAndInSeparateHosts) {
  InstanceHost common_host;
  std::array<InstanceHost, 2> separate_hosts;
  std::size_t reply_bytes = 0;
  for (std::uint64_t step = 0; step < 200; ++step) {
    const Time now{std::chrono::milliseconds{1000 + 10 * step}};
    std::vector<std::uint8_t> expected;
    std::vector<InstanceEvent> all_events;
    for (std::uint32_t instance = 0; instance < 2; ++instance) {
      std::vector<InstanceEvent> instance_events;
      if (step == 0) {
        instance_events.push_back({instance, Launch{instance + 5, test::test_settings}});
        DirectoryUpdate update;
        update.kind = DirectoryUpdate::Kind::cached;
        for (std::uint32_t i = 0; i < 4; ++i) {
          update.entries.push_back({.exchange = ExchangeId{100 + i}, .number = static_cast<int>(i)});
        }
        instance_events.push_back({instance, update});
      }
      CallOffered call;
      call.call = CallId{1000 * (instance + 1) + step};
      call.destination = static_cast<ExchangeNumber>(1 + step % 3);
      call.time_left = std::chrono::seconds{3};
      instance_events.push_back({instance, call});
      instance_events.push_back({instance, TimerDue{0}});
      const auto reply_body = body_of(separate_hosts[instance].handle(now, instance_events));
      expected.insert(expected.end(), reply_body.begin(), reply_body.end());
      all_events.insert(all_events.end(), instance_events.begin(), instance_events.end());
    }
    EXPECT_EQ(body_of(common_host.handle(now, all_events)), expected) << step;
    reply_bytes += expected.size();
  }
  EXPECT_GT(reply_bytes, 1000U);
}

TEST(ParseSettings, ErrorNamesTheKey) {
  const auto error_message = [](const std::string& text) {
    try {
      (void)parse_settings(text);
      return std::string("none");
    } catch (const WireError& error) {
      return std::string(error.what());
    }
  };
  EXPECT_NE(error_message("").find("classes.count"), std::string::npos);
  EXPECT_NE(error_message("classes.count=1\nclasses.0.importance=much").find("classes.0.importance"),
            std::string::npos);
  EXPECT_NE(error_message("classes.count=-1").find("classes.count"), std::string::npos);
  EXPECT_EQ(error_message(test::test_settings), "none");
}

TEST(ParseSettings, ReadsClassesAndSkipsUnknownKeys) {
  const auto parsed = parse_settings(std::string(test::test_settings) + "something.new=1,2,3\n");
  ASSERT_EQ(parsed.settings.classes.size(), 2U);
  EXPECT_EQ(parsed.settings.classes[1].worth, 2.0);
  EXPECT_EQ(parsed.settings.classes[1].circuits, 3.0);
  EXPECT_EQ(parsed.settings.release_wait, Duration{500000});
  EXPECT_EQ(parsed.report_columns, (std::vector<std::string>{"spare", "total", "utilization"}));
}

}  // namespace
}  // namespace maddershed::drill
