// A scheduled job with many occurrences. The row with its progress must not
// grow beyond `row_bytes`, because the store refuses the owner's commits then.
#include "../standin/world.h"

using namespace review;

namespace
{

constexpr int bystander_count = 10;
constexpr std::size_t host_count = 7;
/// Bounds of the pages: ack_ms, cancel_ms and stop_ms.
constexpr std::int64_t ack_ms = 4000;
constexpr std::int64_t cancel_ms = 3000;
constexpr std::int64_t stop_ms = 900;
/// Time that all occurrences take to become due, and more.
constexpr auto run_time = 54s;

std::string bystander(int number)
{
    return concat("00000000000000a", number);
}

/// Cancels one job, at one host after the other, until it is acknowledged or
/// `end`.
void cancel(const world& place, const tenant& who, int number,
            steady::time_point end, std::atomic<int>& acknowledged)
{
    const auto path = "/desk/" + bystander(number);
    for (auto i = static_cast<std::size_t>(number); steady::now() < end; ++i)
    {
        const auto& host = *place.hosts[i % host_count];
        note("client: DELETE ", path, " at ", host.name());
        const auto answer = host.call("DELETE", path, who.key, "");
        note("client: answer to DELETE ", path, ": ", answer.status);
        if (answer.status / 100 == 2 || answer.status == 410)
        {
            ++acknowledged;
            return;
        }
        sleep_for(200ms);
    }
}

bool check(world& place)
{
    const tenant wardens;
    const tenant climbers{"climbers", "key-climbers", 0};
    place.write_config(10,
                       json::array({world::route("book", "/book/"),
                                    world::route("desk", "/desk/")}),
                       {wardens, climbers});
    place.add_worker("w1", "zenkov");
    place.add_worker("w2", "medeu");
    place.start_hosts(host_count);
    // Jobs of another tenant, which wait for nothing but their cancelling.
    for (int i = 0; i < bystander_count; ++i)
        place.submit(*place.hosts[static_cast<std::size_t>(i) % host_count],
                     "/desk/" + bystander(i), climbers.key, {{"ms", 600000}},
                     json::array({world::step(1, 1000, 600000)}));
    const std::string job = "0000000000000ad1";
    const int times = place.trouble() ? 3200 : 320;
    place.submit(*place.hosts[0], "/book/" + job, wardens.key, {{"ms", 50}},
                 json::array({world::step(1, 100, 50)}),
                 {{"times", times},
                  {"start_at_ms", unix_ms() + 1000},
                  {"interval_ms", place.trouble() ? 15 : 150}});
    sleep_for(run_time);
    note("occurrences of the scheduled job: ", times,
         ", starts: ", place.runs.count(run_event::type::start, job),
         ", ends done: ", place.runs.count(run_event::type::end, job, "done"),
         ", ends taken note of: ", place.runs.count(run_event::type::ack, job));
    note("transactions that the store refused because of a row over ",
         max_row_bytes, " bytes: ", place.store.refused_rows());
    const auto first_cancel_ms = place.now_ms();
    const auto end = steady::now() + milliseconds(ack_ms + cancel_ms + stop_ms);
    std::atomic<int> acknowledged{0};
    std::vector<std::thread> clients;
    for (int i = 0; i < bystander_count; ++i)
        clients.emplace_back(
            [&, i] { cancel(place, climbers, i, end, acknowledged); });
    for (auto& each : clients)
        each.join();
    sleep_for(1s);
    place.get(*place.hosts[1], "/book/" + job, wardens.key);
    int running = 0;
    for (const auto& each : place.workers)
        for (const auto& task : each->running_tasks())
        {
            if (task.compare(0, 15, "00000000000000a") != 0)
                continue;
            ++running;
            note("UNASKED: ", task, " still runs on ", each->id(), ", ",
                 place.now_ms() - first_cancel_ms,
                 " ms after the first DELETE; allowed are ",
                 ack_ms + cancel_ms + stop_ms, " ms");
        }
    note("cancels acknowledged within ", ack_ms + cancel_ms + stop_ms,
         " ms: ", acknowledged, " of ", bystander_count,
         "; tasks that run on: ", running);
    return running == 0;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, check);
}
