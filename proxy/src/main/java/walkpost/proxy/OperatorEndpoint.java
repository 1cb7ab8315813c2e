package walkpost.proxy;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.util.concurrent.Future;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Where the operators' staff call: a line to a connection, answered by one that begins with {@code SUCCESS} or
 * {@code FAILURE}. Anyone may connect, so nobody may hold it up or use up its descriptors.
 */
final class OperatorEndpoint {
    /** Callers at a time. One more, and the longest connected is let go: most likely it is one that says nothing. */
    static final int CALLERS = 16;
    /** The longest call, with an id of {@link Exclusions#LONGEST_ID}. */
    private static final int LONGEST_LINE = 200;
    /** The same with the ids of two orders, {@link FleetLink#LONGEST_ORDER} each. */
    private static final int LONGEST_FLEET_LINE = 340;
    /** The platform wants an answer or a close within 3 s of connecting, from anyone. */
    private static final long SILENT_MS = 2_000;
    /** The end of a connection is waited for so long, lest bytes still unread turn it into a reset. */
    private static final long LINGER_MS = 500;

    /** A call that can't be understood. */
    private static final class BadCall extends Exception {
        private static final long serialVersionUID = 1L;

        BadCall(String why) {
            super(why, null, false, false);
        }
    }

    /** Carries a call out; the stage, on whatever thread, ends with the whole line that answers it. */
    private interface Doing {
        CompletionStage<String> of(String[] words) throws BadCall, Exclusions.Refused;
    }

    /** A call: small letters are said as they stand, capitals stand for a word, and brackets for one that may be left out. */
    private record Call(String form, int longest, Doing doing) {
        boolean fits(String[] words) {
            String[] parts = form.split(" ");
            int most = parts.length;
            int least = parts[most - 1].startsWith("[") ? most - 1 : most;
            return words.length >= least && words.length <= most && IntStream.range(0, words.length)
                    .allMatch(i -> !Character.isLowerCase(parts[i].charAt(0)) || parts[i].equals(words[i]));
        }

        boolean begins(String word) {
            return form.split(" ")[0].equals(word);
        }
    }

    private final Log log = new Log("operators");
    private final BooleanSupplier ready;
    private final Exclusions exclusions;
    /** Null where this proxy is in no fleet. */
    private final FleetSide fleet;
    private final Set<Channel> callers = new LinkedHashSet<>();
    /** All that may be called; made at the first call, as a start is paid for by clients who wait for it. */
    private List<Call> calls;

    OperatorEndpoint(BooleanSupplier ready, Exclusions exclusions, FleetSide fleet) {
        this.ready = ready;
        this.exclusions = exclusions;
        this.fleet = fleet;
    }

    private List<Call> table() {
        return List.of(
                new Call("readyz", LONGEST_LINE, words -> now(ready.getAsBoolean() ? "SUCCESS ready" : "FAILURE not ready")),
                new Call("exclude ID", LONGEST_LINE, words -> {
                    exclusions.exclude(words[1]);
                    return now("SUCCESS " + words[1] + " is taken out");
                }),
                new Call("include ID", LONGEST_LINE, words -> now("SUCCESS " + words[1] + (exclusions.include(words[1])
                        ? " is in use again" : " is given back here, but the fleet has it out"))),
                new Call("fleet", LONGEST_LINE, words -> fleet().fleet()),
                new Call("orders", LONGEST_LINE, words -> fleet().orders()),
                new Call("facts TOPIC", LONGEST_LINE, words -> fleet().facts(words[1])),
                new Call("held ID ORDER", LONGEST_FLEET_LINE, words -> fleet().held(words[1], words[2])),
                new Call("exclude ID fleet ORDER [REPLACES]", LONGEST_FLEET_LINE, words -> order(words, true)),
                new Call("include ID fleet ORDER [REPLACES]", LONGEST_FLEET_LINE, words -> order(words, false)));
    }

    private CompletionStage<String> order(String[] words, boolean out) throws BadCall {
        return fleet().order(words[1], out, words[3], words.length > 4 ? words[4] : null);
    }

    private FleetSide fleet() throws BadCall {
        if (fleet == null) {
            throw new BadCall("this proxy is in no fleet, as " + Surroundings.FLEET + " names no file");
        }
        return fleet;
    }

    private static CompletionStage<String> now(String answer) {
        return CompletableFuture.completedFuture(answer);
    }

    ChannelFuture listen(EventLoop loop, SocketAddress address, SystemCallFailures failures) {
        return new ServerBootstrap().group(loop).channelFactory(() -> new RetryingServerSocketChannel(failures))
                // One that has ended its sending may still read what it is told.
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        admit(channel);
                        channel.pipeline().addLast(new LineBasedFrameDecoder(LONGEST_FLEET_LINE, true, true), new Caller());
                    }
                }).bind(address);
    }

    private void admit(Channel channel) {
        if (callers.size() >= CALLERS) {
            callers.iterator().next().close();
        }
        callers.add(channel);
        channel.closeFuture().addListener(f -> callers.remove(channel));
    }

    private CompletionStage<String> answer(ByteBuf line) {
        int length = line.readableBytes();
        try {
            String[] words = text(line).trim().split("[ \t]+", -1);
            Call call = call(words);
            if (length > call.longest) {
                throw new BadCall("the line is too long");
            }
            return call.doing.of(words);
        } catch (BadCall | Exclusions.Refused e) {
            return now("FAILURE " + e.getMessage());
        } catch (RuntimeException e) {
            log.failure("call_failed", e);
            return now("FAILURE " + e);
        }
    }

    private Call call(String[] words) throws BadCall {
        if (calls == null) {
            calls = table();
        }
        for (Call call : calls) {
            if (call.fits(words)) {
                return call;
            }
        }
        boolean known = calls.stream().anyMatch(call -> call.begins(words[0]));
        throw new BadCall((known ? "that is not the form of the call: " : "no such call; there are: ")
                + calls.stream().filter(call -> !known || call.begins(words[0])).map(Call::form).collect(Collectors.joining(", ")));
    }

    private static String text(ByteBuf line) throws BadCall {
        try {
            var bytes = ByteBuffer.allocate(line.readableBytes());
            line.readBytes(bytes);
            String text = StandardCharsets.UTF_8.newDecoder().decode(bytes.flip()).toString();
            if (text.chars().anyMatch(c -> Character.isISOControl(c) && c != '\t')) {
                throw new BadCall("not a line of text");
            }
            return text;
        } catch (CharacterCodingException e) {
            throw new BadCall("not a line of text");
        }
    }

    /** One connection: its first line is its call, and what comes behind that is dropped. */
    private final class Caller extends SimpleChannelInboundHandler<ByteBuf> {
        private Future<?> silent;
        /** Its line has come; the answer may take its time. */
        private boolean asked;
        private boolean answered;

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            silent = ctx.executor().schedule(() -> answer(ctx, "FAILURE no whole line in time"), SILENT_MS,
                    TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) {
            if (asked || answered) {
                return;
            }
            asked = true;
            silent.cancel(false);
            OperatorEndpoint.this.answer(line).whenComplete((text, e) -> {
                if (ctx.executor().inEventLoop()) {
                    answer(ctx, text);
                } else {
                    ctx.executor().execute(() -> answer(ctx, text));
                }
            });
        }

        private void answer(ChannelHandlerContext ctx, String text) {
            if (answered) {
                return;
            }
            answered = true;
            silent.cancel(false);
            ctx.writeAndFlush(Unpooled.copiedBuffer(text.replaceAll("\\s", " ") + "\n", StandardCharsets.UTF_8))
                    .addListener(f -> {
                        ((DuplexChannel) ctx.channel()).shutdownOutput();
                        ctx.executor().schedule(() -> ctx.close(), LINGER_MS, TimeUnit.MILLISECONDS);
                    });
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
            if (event instanceof ChannelInputShutdownEvent) {
                if (answered) {
                    ctx.close();
                } else if (!asked) {
                    answer(ctx, "FAILURE the line has no end");
                }
            }
            super.userEventTriggered(ctx, event);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) throws Exception {
            silent.cancel(false);
            super.channelInactive(ctx);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof TooLongFrameException)) {
                ctx.close();
            } else if (!asked) {
                answer(ctx, "FAILURE the line is too long");
            }
        }
    }
}
